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
// already be known to one of them. Entries expire after `kRetention`. Not thread-safe.
class RouteHistory {
 public:
  // Longer than any client goes on retrying a submit.
  static constexpr Millis kRetention{60000};

  // Records the changes of a configuration that comes into force.
  void record_changes(const std::vector<RouteChange>& changes, TimePoint now);
  // The services other than `service` to which the queue named `queue`, or any queue with its host and path
  // prefix, was routed within the retention time.
  std::vector<std::string> recent_other_services(const std::string& queue, const std::string& service,
                                                 TimePoint now) const;

 private:
  // Host and path prefix.
  using RouteKey = std::pair<std::string, std::string>;
  struct ServiceUse {
    std::string service;
    TimePoint ended_at;  // max: the route is in force
  };
  // A route that has ended, in the queue of what will expire.
  struct EndedRoute {
    TimePoint at;
    RouteKey key;
    std::string queue;
  };

  static RouteKey route_key_of(const Route& route) { return {route.hostname, route.path_prefix}; }
  void end_use(const Route& route, TimePoint now);
  void begin_use(const Route& route);
  void remove_expired(TimePoint now);
  void remove_uses_of(const EndedRoute& ended);

  std::map<RouteKey, std::vector<ServiceUse>> uses_;
  std::map<std::string, RouteKey> route_keys_;  // by name of the queue
  std::deque<EndedRoute> ended_;                // oldest first
};

}  // namespace winchhall::cluster
