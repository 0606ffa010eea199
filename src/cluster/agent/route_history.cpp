#include "cluster/agent/route_history.hpp"

#include <algorithm>

namespace winchhall::cluster {

void RouteHistory::record_changes(const std::vector<RouteChange>& changes, TimePoint now) {
  expire(now);
  for (const RouteChange& change : changes) {
    if (change.before) end_use(*change.before, now);
  }
  for (const RouteChange& change : changes) {
    if (change.after) begin_use(*change.after);
  }
}

std::vector<std::string> RouteHistory::recent_other_services(const std::string& queue,
                                                             const std::string& service,
                                                             TimePoint now) const {
  std::vector<std::string> others;
  const auto place = route_keys_.find(queue);
  if (place == route_keys_.end()) return others;
  const auto uses = uses_.find(place->second);
  if (uses == uses_.end()) return others;
  for (const ServiceUse& use : uses->second) {
    const bool recent = use.seen == TimePoint::max() || now - use.seen <= kRetention;
    if (recent && use.service != service) others.push_back(use.service);
  }
  return others;
}

void RouteHistory::end_use(const Route& route, TimePoint now) {
  const RouteKey place = route_key_of(route);
  for (ServiceUse& use : uses_[place]) {
    if (use.service == route.backend) use.seen = std::min(use.seen, now);
  }
  ended_.push_back({now, place, route.name});
}

void RouteHistory::begin_use(const Route& route) {
  const RouteKey place = route_key_of(route);
  route_keys_[route.name] = place;
  auto& uses = uses_[place];
  const auto same = [&](const ServiceUse& use) { return use.service == route.backend; };
  const auto found = std::find_if(uses.begin(), uses.end(), same);
  if (found != uses.end()) {
    found->seen = TimePoint::max();
  } else {
    uses.push_back({route.backend, TimePoint::max()});
  }
}

void RouteHistory::expire(TimePoint now) {
  while (!ended_.empty() && now - ended_.front().at > kRetention) {
    expire(ended_.front());
    ended_.pop_front();
  }
}

// A use that was opened again since is in force, or ended again later and is kept until then.
void RouteHistory::expire(const EndedUse& ended) {
  const auto entry = uses_.find(ended.place);
  if (entry == uses_.end()) return;
  std::erase_if(entry->second, [&](const ServiceUse& use) { return use.seen <= ended.at; });
  if (!entry->second.empty()) return;
  uses_.erase(entry);
  const auto queue = route_keys_.find(ended.queue);
  if (queue != route_keys_.end() && queue->second == ended.place) route_keys_.erase(queue);
}

}  // namespace winchhall::cluster
