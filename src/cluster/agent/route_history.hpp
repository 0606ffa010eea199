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
  static constexpr Millis kMemory{60000};

  // Takes in what a configuration that comes into force changes.
  void observe(const std::vector<RouteChange>& changes, TimePoint now);
  // Services other than `service` that the queue named `queue`, or one at its host and prefix, was sent to
  // lately.
  std::vector<std::string> other_services(const std::string& queue, const std::string& service,
                                          TimePoint now) const;

 private:
  // Host and path prefix.
  using Place = std::pair<std::string, std::string>;
  struct Use {
    std::string service;
    TimePoint seen;  // last time a configuration sent the queue there; max: the newest one does
  };
  // A use that has ended, to be forgotten in time.
  struct Ended {
    TimePoint at;
    Place place;
    std::string queue;
  };

  static Place place_of(const Route& route) { return {route.hostname, route.path_prefix}; }
  void close_use(const Route& route, TimePoint now);
  void open_use(const Route& route);
  void forget(TimePoint now);
  void forget(const Ended& ended);

  std::map<Place, std::vector<Use>> uses_;
  std::map<std::string, Place> places_;  // by name of the queue
  std::deque<Ended> ended_;              // oldest first
};

}  // namespace winchhall::cluster
