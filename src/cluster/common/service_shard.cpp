#include "cluster/common/service_shard.hpp"

#include <string_view>

namespace winchhall::cluster {
namespace {

constexpr std::string_view kShardPrefix = "service/";

}  // namespace

std::string shard_of_service(const std::string& service) { return std::string(kShardPrefix) + service; }

std::optional<std::string> service_of_shard(const std::string& shard) {
  if (!shard.starts_with(kShardPrefix)) return std::nullopt;
  return shard.substr(kShardPrefix.size());
}

}  // namespace winchhall::cluster
