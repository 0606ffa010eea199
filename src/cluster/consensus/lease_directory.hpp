// Which node holds which shard's lease, as far as this node knows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/shard_acceptor.hpp"

namespace winchhall::cluster {

// Combines the leases granted by this node's acceptor with those that other members report in their pings.
// A report may be out of date, so it counts only if its epoch is above the one promised here. Stateless; both
// references must outlive this object.
class LeaseDirectory {
 public:
  LeaseDirectory(const ShardAcceptor& acceptor, const PeerTable& peers)
      : acceptor_(acceptor), peers_(peers) {}

  // The newest lease on the shard that is known to be in force, if any. A lease that is not yet
  // known to be granted by a majority is included and marked `unconfirmed`.
  std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const;
  // The holders to which callers may be redirected, ordered by shard: one entry for each shard whose lease is
  // known to be granted by a majority and whose holder's address is known.
  std::vector<wire::ShardLeader> confirmed_leaders() const;
  // Number of leases in force at this node's acceptor that the given member holds.
  std::size_t lease_count_of(std::uint64_t member) const;

 private:
  const ShardAcceptor& acceptor_;
  const PeerTable& peers_;
};

}  // namespace winchhall::cluster
