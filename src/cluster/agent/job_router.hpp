// Decides which services' leaders a job request goes to.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "cluster/agent/leader_call.hpp"

namespace winchhall::cluster {

// A job belongs to the service that accepted it, also after its queue has moved to another service. So
// - a submit first queries the services that the queue was routed to until recently: a job that one of them
//   accepted must not be accepted by a second one;
// - a query or a cancellation that the queue's present service does not find goes to all other services;
// - a count only goes to the service that it names.
//
// The result is the leader's reply; JOB_IN_DOUBT where a service that may know the job did not reply clearly;
// JOB_INVALID for another verb. Not thread-safe.
class JobRouter {
 public:
  using Done = LeaderCall::Done;

  // What `context` refers to outlives the router.
  explicit JobRouter(const LeaderCallContext& context);

  // Calls `done` exactly once, by `deadline`; perhaps from within this function.
  void route(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  // The view has newer leaders: passes it on to all calls that have not ended.
  void on_leaders_changed();

 private:
  void submit(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  void search_services(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  // Services in force, other than the request's, that its queue was routed to until recently.
  std::vector<std::string> previous_services(const wire::JobRequest& request) const;
  // Services in force other than the request's.
  std::vector<std::string> all_other_services(const wire::JobRequest& request) const;
  // Sends the request to several services at once and aggregates their replies.
  void call_leaders(const std::vector<std::string>& services, const wire::JobRequest& request,
                    TimePoint deadline, const Done& done);
  void call_leader(wire::JobRequest request, TimePoint deadline, Done done);

  LeaderCallContext context_;
  std::list<std::shared_ptr<LeaderCall>> calls_;  // that have not ended
};

}  // namespace winchhall::cluster
