// Names of the control group's shards that store the services' records. The names are part of the stored
// data.
#pragma once

#include <optional>
#include <string>

namespace winchhall::cluster {

// Returns the name of the shard that stores a service's records: "service/NAME".
std::string shard_of_service(const std::string& service);
// Returns the service whose records the shard stores; none for any other shard.
std::optional<std::string> service_of_shard(const std::string& shard);

}  // namespace winchhall::cluster
