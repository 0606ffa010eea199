// Which shard of the control group keeps a service's records. The names are part of the stored data.
#pragma once

#include <string>
#include <vector>

namespace winchhall::cluster {

// Name of the shard that keeps a service's records: "service/NAME".
std::string shard_of_service(const std::string& service);
// The services whose shards are among `shards`; other shards are left out.
std::vector<std::string> services_of(const std::vector<std::string>& shards);

}  // namespace winchhall::cluster
