#include "cluster/agent/route_history.hpp"

#include <algorithm>

namespace winchhall::cluster {

void RouteHistory::observe(const std::vector<RouteChange>& changes, TimePoint now) {
  forget(now);
  for (const RouteChange& change : changes) {
    if (change.before) close_use(*change.before, now);
  }
  for (const RouteChange& change : changes) {
    if (change.after) open_use(*change.after);
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

void RouteHistory::close_use(const Route& route, TimePoint now) {
  const Place place = place_of(route);
  for (Use& use : uses_[place]) {
    if (use.service == route.backend) use.seen = std::min(use.seen, now);
  }
  ended_.push_back({now, place, route.name});
}

void RouteHistory::open_use(const Route& route) {
  const Place place = place_of(route);
  places_[route.name] = place;
  auto& uses = uses_[place];
  const auto same = [&](const Use& use) { return use.service == route.backend; };
  const auto found = std::find_if(uses.begin(), uses.end(), same);
  if (found != uses.end()) {
    found->seen = TimePoint::max();
  } else {
    uses.push_back({route.backend, TimePoint::max()});
  }
}

void RouteHistory::forget(TimePoint now) {
  while (!ended_.empty() && now - ended_.front().at > kMemory) {
    forget(ended_.front());
    ended_.pop_front();
  }
}

// A use that was opened again since is in force, or ended again later and is kept until then.
void RouteHistory::forget(const Ended& ended) {
  const auto entry = uses_.find(ended.place);
  if (entry == uses_.end()) return;
  std::erase_if(entry->second, [&](const Use& use) { return use.seen <= ended.at; });
  if (!entry->second.empty()) return;
  uses_.erase(entry);
  const auto queue = places_.find(ended.queue);
  if (queue != places_.end() && queue->second == ended.place) places_.erase(queue);
}

}  // namespace winchhall::cluster
