// Nodes that are candidates for the lease of one shard and write nothing to it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {

inline const std::string kShard = "service/one";

// Participates in one shard on one node.
struct Candidate {
  Candidate(SimNode&, ControlGroup& group) : shard(group.open_shard(kShard, callbacks())) {}
  static ShardCallbacks callbacks() {
    ShardCallbacks callbacks;
    callbacks.on_lead = [](std::uint64_t, const std::vector<ShardEntry>&) {};
    callbacks.on_lost = [] {};
    return callbacks;
  }
  std::unique_ptr<ReplicatedShard> shard;
};
using CandidateCluster = ControlCluster<Candidate>;

inline std::optional<std::size_t> leader_of(CandidateCluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index)
    if (cluster.running(index) && cluster.application(index).shard->leads()) return index;
  return std::nullopt;
}

}  // namespace winchhall::cluster::sim
