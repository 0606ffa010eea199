// Relays an ingress's job requests to the leaders of the services.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/agent/job_router.hpp"
#include "cluster/common/rejected_submissions.hpp"

namespace winchhall::cluster {

// Coalesces equal requests: an ingress may repeat a request while the first one is still being relayed, and
// one relay then serves all of them. Submits of one job to different services, as its queue has moved, are
// relayed one after another: the later one must find the job at the service that has accepted the earlier
// one. A rejected submission stays rejected, however late a duplicate of its
// message arrives, because the leader at that time may be one that never received the submission. Not
// thread-safe.
class JobRelay {
 public:
  // `service_lists` and what `context` refers to must outlive the relay.
  JobRelay(const LeaderCallContext& context, ServiceListFetcher& service_lists);

  // Replies to every request by its deadline, or shortly after it.
  void handle(const wire::JobRequest& request, const ReplyCallback& reply);
  // Must be called when the view has newer leaders.
  void on_leaders_changed() { router_.on_leaders_changed(); }
  // Must be called when the view has a newer configuration.
  void on_configuration_changed() { router_.on_configuration_changed(); }
  // True while a request has not been replied to.
  bool has_open_requests() const { return !open_requests_.empty() || !held_submits_.empty(); }

 private:
  // A request that waits for the result of a relay.
  struct Waiter {
    TimePoint deadline;
    ReplyCallback reply;
    wire::JobRequest identity;  // only origin and number are set
  };
  // A request that is being relayed, with the waiters for its result.
  struct OpenRequest {
    wire::JobRequest request;
    TimePoint started;
    TimePoint deadline;  // of the relay, set by its first waiter
    std::vector<Waiter> waiters;
  };

  // A submit that waits for the end of one of the same job to another service.
  struct HeldSubmit {
    wire::JobRequest request;
    TimePoint deadline;
    ReplyCallback reply;
    std::unique_ptr<Timer> timer;  // of the deadline
  };

  // True if a submit of the same job to another service or queue is being relayed.
  bool must_hold(const wire::JobRequest& request, const std::string& key) const;
  void hold(const wire::JobRequest& request, TimePoint deadline, const ReplyCallback& reply);
  // Relays the held submits of a job.
  void release_held(const std::string& job);
  void finish(const std::string& key, const wire::JobReply& result);
  void reply_to(const Waiter& waiter, const wire::JobReply& result, Millis relayed);
  // Replies to a submission that was rejected before with another rejection. Returns false if it was not.
  bool repeat_rejection(const wire::JobRequest& request, const ReplyCallback& reply);

  const LeaderCallContext context_;
  JobRouter router_;
  RejectedSubmissions rejected_;
  std::map<std::string, OpenRequest> open_requests_;  // by verb, service, queue and job id
  std::map<std::string, std::string> open_submits_;   // keys of `open_requests_` by job id
  std::list<HeldSubmit> held_submits_;                // in order of arrival
};

}  // namespace winchhall::cluster
