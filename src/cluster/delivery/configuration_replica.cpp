#include "cluster/delivery/configuration_replica.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "cluster/delivery/configuration_items.hpp"

namespace winchhall::cluster {

TakeOutcome ConfigurationReplica::take(const wire::ConfigurationDifference& difference) {
  switch (table_.check(difference)) {
    case DifferenceCheck::not_newer:
      return TakeOutcome::stale;
    case DifferenceCheck::other_base:
    case DifferenceCheck::wrong_digest:
      return TakeOutcome::unusable;
    case DifferenceCheck::fits:
      break;
  }
  const bool replaces = difference.base_version() == 0 && version() != 0;
  if (!replaces) return take_fitting(difference);
  std::vector<wire::ConfigurationItem> items(difference.items().begin(), difference.items().end());
  return take_fitting(table_.difference_to(difference.version(), std::move(items)));
}

TakeOutcome ConfigurationReplica::take_json(const std::string& json, const char* source) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<TakeOutcome> {
        BOOST_LEAF_AUTO(configuration, parse_configuration(json, source));
        if (configuration.version <= version()) return TakeOutcome::stale;
        return take_fitting(table_.difference_to(configuration.version, items_of(configuration)));
      },
      [] { return TakeOutcome::unusable; });
}

TakeOutcome ConfigurationReplica::take_fitting(const wire::ConfigurationDifference& difference) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<TakeOutcome> {
        BOOST_LEAF_AUTO(edit, read(difference));
        if (collides(edit)) return TakeOutcome::unusable;
        carry_out(std::move(edit));
        configuration_.version = difference.version();
        table_.apply(difference);
        return TakeOutcome::taken;
      },
      [] { return TakeOutcome::unusable; });
}

leaf::result<ConfigurationReplica::Edit> ConfigurationReplica::read(
    const wire::ConfigurationDifference& difference) {
  Edit edit;
  for (const wire::ConfigurationItem& item : difference.items()) BOOST_LEAF_CHECK(read_item(item, edit));
  return edit;
}

// Items of a kind that this version of the program doesn't know are kept in the table alone.
leaf::result<void> ConfigurationReplica::read_item(const wire::ConfigurationItem& item, Edit& edit) {
  switch (item.kind()) {
    case wire::CONFIGURATION_ROUTE: {
      edit.removed_routes.push_back(item.name());
      if (item.removed()) return {};
      BOOST_LEAF_AUTO(route, read_route_item(item));
      edit.routes.push_back(std::move(route));
      return {};
    }
    case wire::CONFIGURATION_SERVICE: {
      if (item.removed()) {
        edit.removed_services.push_back(item.name());
        return {};
      }
      BOOST_LEAF_AUTO(service, read_service_item(item));
      edit.services.push_back(std::move(service));
      return {};
    }
    case wire::CONFIGURATION_LIMITS: {
      BOOST_LEAF_AUTO(limits, read_limits_item(item));
      edit.limits = limits;
      return {};
    }
    default:
      return {};
  }
}

// True if two routes would share a name, or host and prefix. Routes that the edit replaces give theirs up
// first.
bool ConfigurationReplica::collides(const Edit& edit) const {
  const std::unordered_set<std::string> leaving(edit.removed_routes.begin(), edit.removed_routes.end());
  if (leaving.size() != edit.removed_routes.size()) return true;
  RouteIndex coming;
  for (const Route& route : edit.routes) {
    if (!coming.add(route.hostname, route.path_prefix, 0)) return true;
    const auto holder = configuration_.route_index.position_of(route.hostname, route.path_prefix);
    if (holder && !leaving.contains(configuration_.routes[*holder].name)) return true;
  }
  return false;
}

void ConfigurationReplica::carry_out(Edit edit) {
  last_route_changes_.clear();
  std::unordered_map<std::string, std::size_t> changes;
  for (const std::string& name : edit.removed_routes) {
    changes.emplace(name, last_route_changes_.size());
    last_route_changes_.emplace_back();
    const auto position = positions_.find(name);
    if (position == positions_.end()) continue;
    last_route_changes_.back().before = configuration_.routes[position->second];
    remove_route(name);
  }
  for (Route& route : edit.routes) {
    last_route_changes_[changes.at(route.name)].after = route;
    add_route(std::move(route));
  }
  for (const std::string& name : edit.removed_services) remove_service(name);
  for (Service& service : edit.services) put_service(std::move(service));
  if (edit.limits) configuration_.limits = *edit.limits;
}

// The last route takes the free place.
void ConfigurationReplica::remove_route(const std::string& name) {
  std::vector<Route>& routes = configuration_.routes;
  const std::size_t position = positions_.at(name);
  positions_.erase(name);
  configuration_.route_index.remove(routes[position].hostname, routes[position].path_prefix);
  if (position + 1 != routes.size()) {
    routes[position] = std::move(routes.back());
    positions_[routes[position].name] = position;
    configuration_.route_index.move(routes[position].hostname, routes[position].path_prefix, position);
  }
  routes.pop_back();
}

void ConfigurationReplica::add_route(Route route) {
  const std::size_t position = configuration_.routes.size();
  configuration_.route_index.add(route.hostname, route.path_prefix, position);
  positions_[route.name] = position;
  configuration_.routes.push_back(std::move(route));
}

void ConfigurationReplica::remove_service(const std::string& name) {
  std::erase_if(configuration_.services, [&](const Service& service) { return service.name == name; });
}

void ConfigurationReplica::put_service(Service service) {
  remove_service(service.name);
  configuration_.services.push_back(std::move(service));
}

}  // namespace winchhall::cluster
