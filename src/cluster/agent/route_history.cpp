#include "cluster/agent/route_history.hpp"

#include <algorithm>

namespace winchhall::cluster {

void RouteHistory::observe(const Configuration& configuration, TimePoint now) {
  close_uses(now);
  for (const Route& route : configuration.routes) {
    const Place place(route.hostname, route.path_prefix);
    open_use(place, route.backend);
    places_[route.name] = place;
  }
}

std::vector<std::string> RouteHistory::other_services(const std::string& queue, const std::string& service,
                                                      TimePoint now) const {
  std::vector<std::string> others;
  const auto place = places_.find(queue);
  if (place == places_.end()) return others;
  const auto uses = uses_.find(place->second);
  if (uses == uses_.end()) return others;
  for (const Use& use : uses->second) {
    const bool recent = use.seen == TimePoint::max() || now - use.seen <= kMemory;
    if (recent && use.service != service) others.push_back(use.service);
  }
  return others;
}

// Uses end now unless the new configuration opens them again; those forgotten are dropped.
void RouteHistory::close_uses(TimePoint now) {
  for (auto entry = uses_.begin(); entry != uses_.end();) {
    auto& uses = entry->second;
    for (Use& use : uses) use.seen = std::min(use.seen, now);
    const auto forgotten = [&](const Use& use) { return now - use.seen > kMemory; };
    uses.erase(std::remove_if(uses.begin(), uses.end(), forgotten), uses.end());
    entry = uses.empty() ? uses_.erase(entry) : std::next(entry);
  }
  for (auto entry = places_.begin(); entry != places_.end();) {
    entry = uses_.count(entry->second) == 0 ? places_.erase(entry) : std::next(entry);
  }
}

void RouteHistory::open_use(const Place& place, const std::string& service) {
  auto& uses = uses_[place];
  const auto same = [&](const Use& use) { return use.service == service; };
  const auto found = std::find_if(uses.begin(), uses.end(), same);
  if (found != uses.end()) {
    found->seen = TimePoint::max();
  } else {
    uses.push_back({service, TimePoint::max()});
  }
}

}  // namespace winchhall::cluster
