#include "cluster/config/editable_configuration.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace winchhall::cluster {

std::vector<RouteChange> route_moves_between(const Configuration& before, const Configuration& after) {
  const auto same_route_in = [](const Configuration& configuration, const Route& route) {
    const auto position = configuration.route_index.position_of(route.hostname, route.path_prefix);
    return position && configuration.routes[*position].backend == route.backend;
  };
  std::vector<RouteChange> moves;
  for (const Route& route : before.routes) {
    if (!same_route_in(after, route)) moves.push_back({route, std::nullopt});
  }
  for (const Route& route : after.routes) {
    if (!same_route_in(before, route)) moves.push_back({std::nullopt, route});
  }
  return moves;
}

EditableConfiguration::EditableConfiguration(Configuration configuration)
    : configuration_(std::move(configuration)) {
  for (std::size_t position = 0; position < configuration_.routes.size(); ++position) {
    positions_[configuration_.routes[position].name] = position;
  }
}

const Route* EditableConfiguration::find_route(const std::string& name) const {
  const auto position = positions_.find(name);
  return position == positions_.end() ? nullptr : &configuration_.routes[position->second];
}

std::optional<std::size_t> EditableConfiguration::first_conflict(const ConfigurationEdit& edit) const {
  // The paths of replaced and removed routes become free, so that routes may exchange paths within one edit.
  std::unordered_set<std::string> released(edit.removed_routes.begin(), edit.removed_routes.end());
  RouteIndex added;
  std::vector<bool> conflicts_within_edit(edit.routes.size(), false);
  for (std::size_t position = 0; position < edit.routes.size(); ++position) {
    const Route& route = edit.routes[position];
    const bool name_is_unique = released.insert(route.name).second;
    conflicts_within_edit[position] =
        !name_is_unique || !added.add(route.hostname, route.path_prefix, position);
  }
  for (std::size_t position = 0; position < edit.routes.size(); ++position) {
    const Route& route = edit.routes[position];
    const auto owner = configuration_.route_index.position_of(route.hostname, route.path_prefix);
    const bool path_is_taken = owner && !released.contains(configuration_.routes[*owner].name);
    if (path_is_taken || conflicts_within_edit[position]) return position;
  }
  return std::nullopt;
}

std::vector<RouteChange> EditableConfiguration::apply(ConfigurationEdit edit, std::uint64_t version) {
  std::vector<RouteChange> changes = route_changes(edit);
  // All former paths are released before any new one is added, since routes may exchange paths.
  for (const Route& route : edit.routes) release_path(route.name);
  for (const std::string& name : edit.removed_routes) release_path(name);
  for (const std::string& name : edit.removed_routes) remove_route(name);
  for (Route& route : edit.routes) put_route(std::move(route));
  remove_services(edit.removed_services);
  for (Service& service : edit.services) put_service(std::move(service));
  if (edit.limits) configuration_.limits = *edit.limits;
  configuration_.version = version;
  return changes;
}

std::vector<RouteChange> EditableConfiguration::route_changes(const ConfigurationEdit& edit) const {
  std::vector<RouteChange> changes;
  const auto current = [this](const std::string& name) {
    const Route* const route = find_route(name);
    return route == nullptr ? std::nullopt : std::optional<Route>(*route);
  };
  for (const Route& route : edit.routes) changes.push_back({current(route.name), route});
  for (const std::string& name : edit.removed_routes) changes.push_back({current(name), std::nullopt});
  return changes;
}

void EditableConfiguration::release_path(const std::string& name) {
  const Route* const route = find_route(name);
  if (route != nullptr) configuration_.route_index.remove(route->hostname, route->path_prefix);
}

// Keeps `routes` contiguous in constant time: the last route moves to the vacated position.
void EditableConfiguration::remove_route(const std::string& name) {
  const auto found = positions_.find(name);
  if (found == positions_.end()) return;
  std::vector<Route>& routes = configuration_.routes;
  const std::size_t position = found->second;
  positions_.erase(found);
  if (position + 1 != routes.size()) {
    routes[position] = std::move(routes.back());
    positions_[routes[position].name] = position;
    configuration_.route_index.move(routes[position].hostname, routes[position].path_prefix, position);
  }
  routes.pop_back();
}

void EditableConfiguration::put_route(Route route) {
  std::vector<Route>& routes = configuration_.routes;
  const auto [entry, is_new] = positions_.try_emplace(route.name, routes.size());
  if (is_new) routes.emplace_back();
  configuration_.route_index.add(route.hostname, route.path_prefix, entry->second);
  routes[entry->second] = std::move(route);
}

void EditableConfiguration::put_service(Service service) {
  const auto found = std::find_if(configuration_.services.begin(), configuration_.services.end(),
                                  [&](const Service& known) { return known.name == service.name; });
  if (found != configuration_.services.end()) {
    *found = std::move(service);
  } else {
    configuration_.services.push_back(std::move(service));
  }
}

void EditableConfiguration::remove_services(const std::vector<std::string>& names) {
  std::erase_if(configuration_.services, [&](const Service& service) {
    return std::find(names.begin(), names.end(), service.name) != names.end();
  });
}

}  // namespace winchhall::cluster
