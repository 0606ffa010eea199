#include "cluster/config/former_routes.hpp"

#include <algorithm>

namespace winchhall::cluster {

FormerRoutes::FormerRoutes(const std::vector<FormerRoute>& entries) {
  for (const FormerRoute& entry : entries)
    add({entry.hostname, entry.path_prefix, entry.service}, {entry.ended_wall_ms, entry.ended_version});
}

FormerRoutes::Key FormerRoutes::key_of(const Route& route) {
  return {lower_case_hostname(route.hostname), route.path_prefix, route.backend};
}

void FormerRoutes::record(const std::vector<RouteChange>& changes, std::int64_t wall_ms,
                          std::uint64_t version) {
  remove_expired(wall_ms);
  // All former routes are added before the present ones are taken out, because a route may take over the
  // hostname and path prefix of another.
  for (const RouteChange& change : changes) {
    if (change.before) add(key_of(*change.before), {wall_ms, version});
  }
  for (const RouteChange& change : changes) {
    if (change.after) ended_.erase(key_of(*change.after));
  }
  generalize_oldest();
}

void FormerRoutes::remove_expired(std::int64_t wall_ms) {
  if (wall_ms == 0) return;
  for (auto entry = ended_.begin(); entry != ended_.end();) {
    std::int64_t& ended_wall_ms = entry->second.wall_ms;
    if (ended_wall_ms == 0) ended_wall_ms = wall_ms;
    const bool expired = wall_ms - ended_wall_ms > kRetention.count();
    entry = expired ? ended_.erase(entry) : std::next(entry);
  }
}

void FormerRoutes::add(const Key& key, const End& end) {
  End& newest = ended_[key];
  newest.wall_ms = std::max(newest.wall_ms, end.wall_ms);
  newest.version = std::max(newest.version, end.version);
}

void FormerRoutes::generalize_oldest() {
  std::vector<std::pair<std::int64_t, Key>> routes;
  for (const auto& [key, end] : ended_) {
    const bool names_route = !std::get<1>(key).empty();
    if (names_route) routes.emplace_back(end.wall_ms, key);
  }
  if (routes.size() <= kMaxEntries) return;
  std::sort(routes.begin(), routes.end());
  routes.resize(routes.size() - kMaxEntries);
  for (const auto& [ended_wall_ms, key] : routes) {
    const End end = ended_.extract(key).mapped();
    add({"", "", std::get<2>(key)}, end);
  }
}

std::vector<FormerRoute> FormerRoutes::entries() const {
  std::vector<FormerRoute> entries;
  for (const auto& [key, end] : ended_) {
    const auto& [hostname, path_prefix, service] = key;
    entries.push_back({hostname, path_prefix, service, end.wall_ms, end.version});
  }
  return entries;
}

}  // namespace winchhall::cluster
