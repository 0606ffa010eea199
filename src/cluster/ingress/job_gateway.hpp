// Answers clients' job requests: finds the queue, has the agent ask the service's leader, and turns the
// outcome into an HTTP answer. Every request gets one, at its deadline at the latest.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/http/server.hpp"
#include "cluster/ingress/request_target.hpp"

namespace winchhall::cluster {

class JobGateway {
 public:
  JobGateway(Runtime& runtime, Address agent);

  // `configuration`: the one in force; null: none yet.
  void handle(const Configuration* configuration, const HttpRequest& request, HttpReplyCallback reply);
  // Answers everything that is open at once, as in doubt.
  void fail_all_pending();
  std::size_t open() const { return calls_.size(); }

 private:
  // A request on its way to the agent.
  struct PendingCall {
    wire::JobRequest request;
    TimePoint deadline;
    unsigned tries = 0;
    TimePoint second_attempt_at{};  // set where there is one
    HttpReplyCallback reply;
    std::unique_ptr<Timer> retry;
  };

  void forward(const RequestTarget& target, const HttpRequest& request, wire::JobSpec spec,
               HttpReplyCallback reply);
  void send(std::uint64_t number);
  void on_result(std::uint64_t number, const CallResult& result);
  void retry_later(std::uint64_t number);
  void finish(std::uint64_t number, const wire::JobReply& reply);
  // True if some try may have reached a control node, for all that the answer tells.
  bool is_outcome_unknown(const PendingCall& call, const wire::JobReply& reply) const;
  HttpResponse count_answer(const std::string& queue, const wire::JobReply& reply);

  Runtime& runtime_;
  Address agent_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, PendingCall> calls_;
  // A queue's count as it was last heard.
  struct CachedCount {
    std::uint32_t pending = 0;
    TimePoint at;
  };
  std::map<std::string, CachedCount> cached_counts_;  // by queue
};

}  // namespace winchhall::cluster
