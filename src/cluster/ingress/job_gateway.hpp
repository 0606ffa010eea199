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
  void handle(const Configuration* configuration, const HttpRequest& request, HttpReplier reply);
  // Answers everything that is open at once, as in doubt.
  void give_up_all();
  std::size_t open() const { return calls_.size(); }

 private:
  // A request on its way to the agent.
  struct OpenCall {
    wire::JobRequest request;
    TimePoint deadline;
    unsigned tries = 0;
    TimePoint second_try_at{};  // set where there is one
    HttpReplier reply;
    std::unique_ptr<Timer> retry;
  };

  void hand_on(const RequestTarget& target, const HttpRequest& request, wire::JobSpec spec,
               HttpReplier reply);
  void send(std::uint64_t number);
  void on_result(std::uint64_t number, const CallResult& result);
  void retry_later(std::uint64_t number);
  void finish(std::uint64_t number, const wire::JobReply& reply);
  // True if some try may have reached a control node, for all that the answer tells.
  bool uncertain(const OpenCall& call, const wire::JobReply& reply) const;
  HttpResponse count_answer(const std::string& queue, const wire::JobReply& reply);

  Runtime& runtime_;
  Address agent_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, OpenCall> calls_;
  // A queue's count as it was last heard.
  struct KnownCount {
    std::uint32_t pending = 0;
    TimePoint at;
  };
  std::map<std::string, KnownCount> newest_counts_;  // by queue
};

}  // namespace winchhall::cluster
