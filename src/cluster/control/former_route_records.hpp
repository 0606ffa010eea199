// The former routes in the record of the register "configuration".
#pragma once

#include "cluster/config/former_routes.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// The former routes as of the record's snapshot or text, without its patches.
FormerRoutes read_former_routes(const wire::ConfigurationRecord& record);
// Replaces the former routes of the record.
void write_former_routes(const FormerRoutes& former_routes, wire::ConfigurationRecord& record);

}  // namespace winchhall::cluster
