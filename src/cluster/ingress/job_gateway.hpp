// Gateway of an ingress: forwards clients' job requests to the agent on the same machine.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/http/message.hpp"
#include "cluster/ingress/queue_count_cache.hpp"
#include "cluster/ingress/request_target.hpp"

namespace winchhall::cluster {

// Resolves each request to a queue, lets the agent call the service's leader, and translates the outcome into
// an HTTP response. Every request gets a response, at its deadline at the latest. Requests are idempotent by
// the job's ID, so an attempt that the agent does not answer is repeated. Owns the pending calls. Not
// thread-safe.
class JobGateway {
 public:
  // `agent`: the agent's RPC listener. The runtime must outlive the gateway.
  JobGateway(Runtime& runtime, Address agent);

  // Handles a client's request. `reply` is called exactly once, possibly before this function returns.
  // `configuration`: the current one; null if there is none yet.
  void handle(const Configuration* configuration, const HttpRequest& request, HttpReplyCallback reply);
  // Responds to all pending requests at once, as if their outcomes were unknown.
  void fail_all_pending();
  std::size_t pending_calls() const { return calls_.size(); }

 private:
  // A client's request that has been forwarded to the agent.
  struct PendingCall {
    wire::JobRequest request;
    TimePoint deadline;
    unsigned attempts = 0;
    TimePoint second_attempt_at{};  // set if there is one
    HttpReplyCallback reply;
    std::unique_ptr<Timer> retry_timer;
  };

  void forward(const RequestTarget& target, const HttpRequest& request, wire::JobSpec spec,
               HttpReplyCallback reply);
  void send(std::uint64_t call_number);
  void on_result(std::uint64_t call_number, const CallResult& result);
  void retry_later(std::uint64_t call_number);
  void finish(std::uint64_t call_number, const wire::JobReply& reply);
  // Whether an attempt other than the one that was answered may have reached a control node.
  bool is_outcome_unknown(const PendingCall& call, const wire::JobReply& reply) const;
  HttpResponse make_count_response(const std::string& queue, const wire::JobReply& reply);

  Runtime& runtime_;
  Address agent_;
  const std::uint64_t origin_;  // names this process in its requests, see wire::JobRequest; not 0
  std::uint64_t last_call_number_ = 0;
  std::map<std::uint64_t, PendingCall> calls_;  // by call number, in order of arrival
  QueueCountCache counts_;
};

}  // namespace winchhall::cluster
