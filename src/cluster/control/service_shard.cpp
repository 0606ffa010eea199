#include "cluster/control/service_shard.hpp"

#include <string_view>

namespace winchhall::cluster {
namespace {

constexpr std::string_view kShardPrefix = "service/";

}  // namespace

std::string shard_of_service(const std::string& service) { return std::string(kShardPrefix) + service; }

std::vector<std::string> services_of(const std::vector<std::string>& shards) {
  std::vector<std::string> services;
  for (const std::string& shard : shards) {
    if (shard.starts_with(kShardPrefix)) services.push_back(shard.substr(kShardPrefix.size()));
  }
  return services;
}

}  // namespace winchhall::cluster
