// Relays the ingress' job requests to the leaders of the services.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/agent/job_router.hpp"
#include "cluster/common/rejected_submissions.hpp"

namespace winchhall::cluster {

// Coalesces equal requests: an ingress may send a request again while the first one is still relayed; one
// relay then serves all of them. A submission that was rejected stays rejected, however late a duplicate of
// its message comes: the leader by then may be one that never saw it. Not thread-safe.
class JobRelay {
 public:
  // What `context` refers to outlives the relay.
  explicit JobRelay(const LeaderCallContext& context);

  // Replies to every request by its deadline, or shortly after it.
  void handle(const wire::JobRequest& request, const ReplyCallback& reply);
  void on_leaders_changed() { router_.on_leaders_changed(); }
  // True while a request has not been replied to.
  bool has_open_requests() const { return !open_requests_.empty(); }

 private:
  // A request that waits for the result of a relay.
  struct Waiter {
    TimePoint deadline;
    ReplyCallback reply;
    wire::JobRequest identity;  // origin and number alone
  };
  struct OpenRequest {
    wire::JobRequest request;
    TimePoint started;
    TimePoint deadline;  // of the relay, set by its first waiter
    std::vector<Waiter> waiters;
  };

  void finish(const std::string& key, const wire::JobReply& result);
  void reply_to(const Waiter& waiter, const wire::JobReply& result, Millis relayed);
  // True if this very request was rejected before and has been replied to accordingly.
  bool repeat_rejection(const wire::JobRequest& request, const ReplyCallback& reply);

  const LeaderCallContext context_;
  JobRouter router_;
  RejectedSubmissions rejected_;
  std::map<std::string, OpenRequest> open_requests_;  // by verb, service, queue and job id
};

}  // namespace winchhall::cluster
