#include "cluster/consensus/lease_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace winchhall::cluster {

std::optional<wire::ShardLeader> LeaseDirectory::lease_in_force(const std::string& shard) const {
  const std::optional<wire::ShardLeader> reported = peers_.leader(shard);
  if (reported && reported->epoch() > acceptor_.promised_epoch(shard)) return reported;
  return acceptor_.lease_in_force(shard);
}

std::vector<wire::ShardLeader> LeaseDirectory::confirmed_leaders() const {
  std::set<std::string> shards;
  for (const wire::ShardLeader& leader : acceptor_.leases_in_force()) shards.insert(leader.shard());
  for (const wire::ShardLeader& leader : peers_.leaders()) shards.insert(leader.shard());
  std::vector<wire::ShardLeader> leaders;
  for (const std::string& shard : shards) {
    std::optional<wire::ShardLeader> leader = lease_in_force(shard);
    if (leader && leader->unconfirmed()) leader = peers_.leader(shard);
    if (leader && !leader->address().empty()) leaders.push_back(std::move(*leader));
  }
  return leaders;
}

std::size_t LeaseDirectory::lease_count_of(std::uint64_t member) const {
  const std::vector<wire::ShardLeader> leases = acceptor_.leases_in_force();
  return static_cast<std::size_t>(
      std::count_if(leases.begin(), leases.end(),
                    [member](const wire::ShardLeader& lease) { return lease.holder() == member; }));
}

}  // namespace winchhall::cluster
