// Decides which services' leaders a job request goes to.
#pragma once

#include <list>
#include <memory>
#include <set>
#include <string>

#include "cluster/agent/leader_call.hpp"
#include "cluster/agent/service_list_fetcher.hpp"

namespace winchhall::cluster {

// A job belongs to the service that accepted it, also after its queue has moved to another service. So
// - a submit, a query or a cancellation waits until this process knows the configuration that the ingress has
//   routed it by, since only then the services that may know the job are known;
// - a submit first queries the services that the queue was routed to until recently: a job that one of them
//   accepted must not be accepted by a second one;
// - a query or a cancellation of a job that the queue's current service does not know goes to the other
//   services that this process knows, and if none of them knows the job, to all others that a majority of the
//   control group lists after the request has arrived: this process alone may not know of a service that is
//   deleted and between two leaders, or of a newer configuration;
// - a count goes only to the service that it names.
//
// The result is the leader's reply; JOB_IN_DOUBT if a service that may know the job gave no definite reply;
// JOB_REJECTED or JOB_IN_DOUBT if the configuration did not arrive in time; JOB_INVALID for any other verb.
// Owns the calls to leaders that are in progress. Not thread-safe.
class JobRouter {
 public:
  using Done = LeaderCall::Done;

  // `service_lists` and what `context` refers to must outlive the router.
  JobRouter(const LeaderCallContext& context, ServiceListFetcher& service_lists);

  // Calls `done` exactly once, by `deadline`, possibly before this function returns.
  void route(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  // Must be called when the view has newer leaders. Notifies all calls in progress.
  void on_leaders_changed();
  // Must be called when the view has a newer configuration. Routes the requests that have waited for it.
  void on_configuration_changed();

 private:
  // A request whose configuration this process does not know yet.
  struct WaitingRequest {
    wire::JobRequest request;
    TimePoint deadline;
    Done done;
    std::unique_ptr<Timer> timer;
  };

  bool knows_configuration_of(const wire::JobRequest& request) const;
  void wait_for_configuration(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  void give_up_waiting(std::list<WaitingRequest>::iterator waiting);
  void route_now(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  void submit(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  // Finds the job of a query or cancellation. JOB_NOT_FOUND only if every service that may know it says so.
  void search_services(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  // The steps of the search after the request's own service has said that it doesn't know the job: first the
  // services that this process knows, then those that are listed and were not `queried` before.
  void search_known_services(const wire::JobRequest& request, TimePoint deadline, const Done& done);
  void search_listed_services(const wire::JobRequest& request, const std::set<std::string>& queried,
                              TimePoint deadline, const Done& done);
  void on_services_listed(const wire::JobRequest& request, const std::set<std::string>& queried,
                          TimePoint deadline, const Done& done, const ServiceListResult& listed);
  // Services other than the request's that its queue was routed to until recently. They may have been removed
  // from the configuration since: their leaders remain.
  std::set<std::string> previous_services(const wire::JobRequest& request) const;
  // Services that may know the request's job, as far as this process knows: its own, the configured ones,
  // those with a known leader and the previous ones.
  std::set<std::string> known_services(const wire::JobRequest& request) const;
  // Sends the request to several services at once and aggregates their replies. JOB_NOT_FOUND without any.
  void call_leaders(const std::set<std::string>& services, const wire::JobRequest& request,
                    TimePoint deadline, const Done& done);
  void call_leader(wire::JobRequest request, TimePoint deadline, Done done);

  LeaderCallContext context_;
  ServiceListFetcher& service_lists_;
  std::list<std::shared_ptr<LeaderCall>> calls_;  // in progress
  std::list<WaitingRequest> waiting_;             // in order of arrival
};

}  // namespace winchhall::cluster
