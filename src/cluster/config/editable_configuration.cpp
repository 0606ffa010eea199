#include "cluster/config/editable_configuration.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace winchhall::cluster {

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

// Routes that are replaced or removed give their places up first.
std::optional<std::size_t> EditableConfiguration::first_conflict(const ConfigurationEdit& edit) const {
  std::unordered_set<std::string> leaving(edit.removed_routes.begin(), edit.removed_routes.end());
  RouteIndex coming;
  std::vector<bool> collides(edit.routes.size(), false);
  for (std::size_t position = 0; position < edit.routes.size(); ++position) {
    const Route& route = edit.routes[position];
    const bool named_once = leaving.insert(route.name).second;
    collides[position] = !named_once || !coming.add(route.hostname, route.path_prefix, position);
  }
  for (std::size_t position = 0; position < edit.routes.size(); ++position) {
    const Route& route = edit.routes[position];
    const auto holder = configuration_.route_index.position_of(route.hostname, route.path_prefix);
    const bool held = holder && !leaving.contains(configuration_.routes[*holder].name);
    if (held || collides[position]) return position;
  }
  return std::nullopt;
}

std::vector<RouteChange> EditableConfiguration::apply(ConfigurationEdit edit, std::uint64_t version) {
  std::vector<RouteChange> changes;
  const auto note_before = [&](const std::string& name) {
    const Route* const held = find_route(name);
    changes.push_back({held == nullptr ? std::nullopt : std::optional<Route>(*held), std::nullopt});
    release_path(name);
  };
  for (const Route& route : edit.routes) {
    note_before(route.name);
    changes.back().after = route;
  }
  for (const std::string& name : edit.removed_routes) note_before(name);
  for (const std::string& name : edit.removed_routes) remove_route(name);
  for (Route& route : edit.routes) put_route(std::move(route));
  std::erase_if(configuration_.services, [&](const Service& service) {
    return std::find(edit.removed_services.begin(), edit.removed_services.end(), service.name) !=
           edit.removed_services.end();
  });
  for (Service& service : edit.services) put_service(std::move(service));
  if (edit.limits) configuration_.limits = *edit.limits;
  configuration_.version = version;
  return changes;
}

void EditableConfiguration::release_path(const std::string& name) {
  const Route* const route = find_route(name);
  if (route != nullptr) configuration_.route_index.remove(route->hostname, route->path_prefix);
}

// The last route takes the free position.
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

}  // namespace winchhall::cluster
