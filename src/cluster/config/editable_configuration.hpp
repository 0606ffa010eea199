// Edits of a configuration in place.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/config/configuration.hpp"

namespace winchhall::cluster {

// Items to insert or replace, identified by their names, and names of items to remove. Each name occurs at
// most once.
struct ConfigurationEdit {
  std::vector<Route> routes;
  std::vector<std::string> removed_routes;
  std::vector<Service> services;
  std::vector<std::string> removed_services;
  std::optional<RequestLimits> limits;  // none: unchanged
};

// A route that was added (no `before`), changed, or removed (no `after`; neither, if it did not exist).
struct RouteChange {
  std::optional<Route> before;
  std::optional<Route> after;
};

// The changes that turn the routes of one configuration into those of another, without the routes that keep
// hostname, path prefix and service.
std::vector<RouteChange> route_moves_between(const Configuration& before, const Configuration& after);

// Owns a configuration and edits it in place, in time proportional to the edit. Not thread-safe.
class EditableConfiguration {
 public:
  EditableConfiguration() = default;
  explicit EditableConfiguration(Configuration configuration);

  const Configuration& configuration() const { return configuration_; }
  // Null if there is no route of this name.
  const Route* find_route(const std::string& name) const;
  // Position in `edit.routes` of the first route that would have the same hostname and path prefix, or the
  // same name, as another route; none if the edit can be applied.
  std::optional<std::size_t> first_conflict(const ConfigurationEdit& edit) const;
  // Applies an edit without conflicts, sets the version, and returns the changes of the routes. Does not
  // preserve the order of the routes.
  std::vector<RouteChange> apply(ConfigurationEdit edit, std::uint64_t version);

 private:
  std::vector<RouteChange> route_changes(const ConfigurationEdit& edit) const;
  // Removes the route's path from the index, so that another route can have it.
  void release_path(const std::string& name);
  void remove_route(const std::string& name);
  void put_route(Route route);
  void put_service(Service service);
  void remove_services(const std::vector<std::string>& names);

  Configuration configuration_;
  std::unordered_map<std::string, std::size_t> positions_;  // in `routes`, by route name
};

}  // namespace winchhall::cluster
