// Remembers for a while which services a queue was sent to earlier: a job handed in again after its queue has
// moved may already be known there.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/delivery/configuration_replica.hpp"

namespace winchhall::cluster {

class RouteHistory {
 public:
  // How long after its queue has moved a service may still be asked for: longer than a client goes on trying.
  static constexpr Millis kRetention{60000};

  // Takes in what a configuration that comes into force changes.
  void record_changes(const std::vector<RouteChange>& changes, TimePoint now);
  // Services other than `service` that the queue named `queue`, or one at its host and prefix, was sent to
  // lately.
  std::vector<std::string> recent_other_services(const std::string& queue, const std::string& service,
                                                 TimePoint now) const;

 private:
  // Host and path prefix.
  using RouteKey = std::pair<std::string, std::string>;
  struct ServiceUse {
    std::string service;
    TimePoint seen;  // last time a configuration sent the queue there; max: the newest one does
  };
  // A use that has ended, to be forgotten in time.
  struct EndedUse {
    TimePoint at;
    RouteKey place;
    std::string queue;
  };

  static RouteKey route_key_of(const Route& route) { return {route.hostname, route.path_prefix}; }
  void end_use(const Route& route, TimePoint now);
  void begin_use(const Route& route);
  void expire(TimePoint now);
  void expire(const EndedUse& ended);

  std::map<RouteKey, std::vector<ServiceUse>> uses_;
  std::map<std::string, RouteKey> route_keys_;  // by name of the queue
  std::deque<EndedUse> ended_;                  // oldest first
};

}  // namespace winchhall::cluster
