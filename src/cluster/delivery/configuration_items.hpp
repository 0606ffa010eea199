// Conversion between a configuration's values (services, routes, limits) and the items of the wire format.
#pragma once

#include <string>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/config/editable_configuration.hpp"
#include "cluster/config/former_routes.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// All items of a configuration: services, routes, limits.
std::vector<wire::ConfigurationItem> items_of(const Configuration& configuration);

// The items that an edit upserts, and its removals.
std::vector<wire::ConfigurationItem> items_of(const ConfigurationEdit& edit);

// One item for each hostname and path prefix among the former routes, with the newest version that ended one
// of them. Ordered by name.
std::vector<wire::ConfigurationItem> items_of(const FormerRoutes& former_routes);

// The upserts and removals that turn the items of some former routes into those of others.
std::vector<wire::ConfigurationItem> item_changes_between(const FormerRoutes& before,
                                                          const FormerRoutes& after);

// The removal of the item with this kind and name.
wire::ConfigurationItem removed_item(wire::ConfigurationItemKind kind, const std::string& name);

// Decode an item that is not a removal. Errors: InvalidInput, if its encoding is invalid.
leaf::result<Route> read_route_item(const wire::ConfigurationItem& item);
leaf::result<Service> read_service_item(const wire::ConfigurationItem& item);
leaf::result<std::vector<FormerRoute>> read_former_route_item(const wire::ConfigurationItem& item);
leaf::result<RequestLimits> read_limits_item(const wire::ConfigurationItem& item);

}  // namespace winchhall::cluster
