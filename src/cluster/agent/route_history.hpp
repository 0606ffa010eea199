// The services that queues were routed to until recently.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_replica.hpp"

namespace winchhall::cluster {

// Remembers the former services of a queue after its route has changed: a job that a client submits again may
// already be known to one of them. Entries expire after `kRetention`; those of before this process knew the
// configuration come with it and expire `kRetention` later. Not thread-safe.
class RouteHistory {
 public:
  // Longer than any client retries a submit.
  static constexpr Millis kRetention{60000};

  // Records the route changes of a configuration that takes effect.
  void record_changes(const std::vector<RouteChange>& changes, TimePoint now);
  // Records the former routes that a configuration which takes effect adds or changes: they count as ended
  // now. Must follow `record_changes` for the same configuration.
  void record_former_routes(const std::vector<FormerRoute>& former_routes, TimePoint now);
  // The services other than `service` to which the queue named `queue`, or any queue with its host and path
  // prefix, was routed within the retention time.
  std::vector<std::string> recent_other_services(const std::string& queue, const std::string& service,
                                                 TimePoint now) const;

 private:
  // Hostname in lower case and path prefix; both are empty for entries that stand for any route.
  using RouteKey = std::pair<std::string, std::string>;
  // A service that a hostname and path prefix is or was routed to.
  struct ServiceUse {
    std::string service;
    TimePoint ended_at;  // TimePoint::max() while the route is in force
  };
  // A route that is no longer in force and whose entry has not expired yet.
  struct EndedRoute {
    TimePoint at;
    RouteKey key;
  };

  static RouteKey route_key_of(const Route& route) {
    return {lower_case_hostname(route.hostname), route.path_prefix};
  }
  void append_recent_other_services(const RouteKey& key, const std::string& service, TimePoint now,
                                    std::vector<std::string>& services) const;
  void end_use(const Route& route, TimePoint now);
  void begin_use(const Route& route);
  void remove_expired(TimePoint now);
  void remove_uses_of(const EndedRoute& ended);

  std::map<RouteKey, std::vector<ServiceUse>> uses_;
  std::map<std::string, RouteKey> route_keys_;  // by name of the queue
  std::deque<EndedRoute> ended_;                // oldest first
};

}  // namespace winchhall::cluster
