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
  append_recent_other_services(key->second, service, now, services);
  append_recent_other_services(RouteKey(), service, now, services);
  return services;
}

void RouteHistory::append_recent_other_services(const RouteKey& key, const std::string& service,
                                                TimePoint now, std::vector<std::string>& services) const {
  const auto uses = uses_.find(key);
  if (uses == uses_.end()) return;
  for (const ServiceUse& use : uses->second) {
    const bool recent = use.ended_at == TimePoint::max() || now - use.ended_at <= kRetention;
    const bool listed = std::find(services.begin(), services.end(), use.service) != services.end();
    if (recent && use.service != service && !listed) services.push_back(use.service);
  }
}

void RouteHistory::end_use(const Route& route, TimePoint now) {
  const RouteKey key = route_key_of(route);
  for (ServiceUse& use : uses_[key]) {
    if (use.service == route.backend) use.ended_at = std::min(use.ended_at, now);
  }
  ended_.push_back({now, key});
}

void RouteHistory::record_former_routes(const std::vector<FormerRoute>& former_routes, TimePoint now) {
  for (const FormerRoute& former : former_routes) {
    const RouteKey key{former.hostname, former.path_prefix};
    auto& uses = uses_[key];
    const auto is_same = [&](const ServiceUse& use) { return use.service == former.service; };
    const auto known = std::find_if(uses.begin(), uses.end(), is_same);
    if (known == uses.end()) {
      uses.push_back({former.service, now});
    } else {
      known->ended_at = now;  // it may have been in force once more, unseen by this process
    }
    ended_.push_back({now, key});
  }
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
  std::erase_if(route_keys_, [&](const auto& entry) { return entry.second == ended.key; });
}

}  // namespace winchhall::cluster
