// The items of a configuration (services, routes, limits) as messages, and back.
#pragma once

#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/config/editable_configuration.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// All items of a configuration, in its order.
std::vector<wire::ConfigurationItem> items_of(const Configuration& configuration);

// The items that an edit puts in or takes out.
std::vector<wire::ConfigurationItem> items_of(const ConfigurationEdit& edit);

// What an item that is not removed holds. Errors: InvalidInput, where it can't be read.
leaf::result<Route> read_route_item(const wire::ConfigurationItem& item);
leaf::result<Service> read_service_item(const wire::ConfigurationItem& item);
leaf::result<RequestLimits> read_limits_item(const wire::ConfigurationItem& item);

}  // namespace winchhall::cluster
