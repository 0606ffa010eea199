// A configuration that is changed in place, item by item, at a cost that grows with the change.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/config/configuration.hpp"

namespace winchhall::cluster {

// Items to be put in or replaced, by name, and names of items to be taken out. No name stands twice.
struct ConfigurationEdit {
  std::vector<Route> routes;
  std::vector<std::string> removed_routes;
  std::vector<Service> services;
  std::vector<std::string> removed_services;
  std::optional<RequestLimits> limits;
};

// A route that was added (no `before`), changed, or removed (no `after`).
struct RouteChange {
  std::optional<Route> before;
  std::optional<Route> after;
};

class EditableConfiguration {
 public:
  EditableConfiguration() = default;
  explicit EditableConfiguration(Configuration configuration);

  const Configuration& configuration() const { return configuration_; }
  // Null: no route has this name.
  const Route* find_route(const std::string& name) const;
  // Position in `edit.routes` of the first one that would share host and prefix, or its name, with another
  // route; none: the edit can be carried out.
  std::optional<std::size_t> first_conflict(const ConfigurationEdit& edit) const;
  // Carries out an edit without collisions, which makes `version`. Routes keep no particular order.
  std::vector<RouteChange> apply(ConfigurationEdit edit, std::uint64_t version);

 private:
  void release_path(const std::string& name);
  void remove_route(const std::string& name);
  void put_route(Route route);
  void put_service(Service service);

  Configuration configuration_;
  std::unordered_map<std::string, std::size_t> positions_;  // of the routes, by name
};

}  // namespace winchhall::cluster
