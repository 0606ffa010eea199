#include "cluster/agent/route_history.hpp"

#include <algorithm>

namespace winchhall::cluster {

void RouteHistory::record_changes(const std::vector<RouteChange>& changes, TimePoint now) {
  remove_expired(now);
  // All former routes end before any new one begins, because a queue may take over the host and prefix of
  // another.
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
  std::vector<std::string> services;
  const auto key = route_keys_.find(queue);
  if (key == route_keys_.end()) return services;
  const auto uses = uses_.find(key->second);
  if (uses == uses_.end()) return services;
  for (const ServiceUse& use : uses->second) {
    const bool recent = use.ended_at == TimePoint::max() || now - use.ended_at <= kRetention;
    if (recent && use.service != service) services.push_back(use.service);
  }
  return services;
}

void RouteHistory::end_use(const Route& route, TimePoint now) {
  const RouteKey key = route_key_of(route);
  for (ServiceUse& use : uses_[key]) {
    if (use.service == route.backend) use.ended_at = std::min(use.ended_at, now);
  }
  ended_.push_back({now, key, route.name});
}

void RouteHistory::begin_use(const Route& route) {
  const RouteKey key = route_key_of(route);
  route_keys_[route.name] = key;
  auto& uses = uses_[key];
  const auto is_same = [&](const ServiceUse& use) { return use.service == route.backend; };
  const auto known = std::find_if(uses.begin(), uses.end(), is_same);
  if (known != uses.end()) {
    known->ended_at = TimePoint::max();
  } else {
    uses.push_back({route.backend, TimePoint::max()});
  }
}

void RouteHistory::remove_expired(TimePoint now) {
  while (!ended_.empty() && now - ended_.front().at > kRetention) {
    remove_uses_of(ended_.front());
    ended_.pop_front();
  }
}

// Keeps a use that has begun again since: it is in force, or has ended later, for which there is another
// entry in `ended_`.
void RouteHistory::remove_uses_of(const EndedRoute& ended) {
  const auto uses = uses_.find(ended.key);
  if (uses == uses_.end()) return;
  std::erase_if(uses->second, [&](const ServiceUse& use) { return use.ended_at <= ended.at; });
  if (!uses->second.empty()) return;
  uses_.erase(uses);
  const auto key = route_keys_.find(ended.queue);
  if (key != route_keys_.end() && key->second == ended.key) route_keys_.erase(key);
}

}  // namespace winchhall::cluster
