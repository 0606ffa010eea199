// Records that a new lease holder recovers are also recovered by the next holder, even if the first one
// crashes right after it began to lead.
#include <catch2/catch.hpp>

#include "tests/cluster/consensus/lease_candidate.hpp"

namespace winchhall::cluster::sim {
namespace {

// Participates in one shard and stores the keys of the entries that it recovered when it began to lead.
struct RecoveringNode {
  RecoveringNode(SimNode&, ControlGroup& group) : shard(group.open_shard(kShard, callbacks())) {}
  ShardCallbacks callbacks() {
    ShardCallbacks callbacks;
    callbacks.on_lead = [this](std::uint64_t, const std::vector<ShardEntry>& entries) {
      recovered.clear();
      for (const ShardEntry& entry : entries) recovered.insert(entry.key);
    };
    callbacks.on_lost = [] {};
    return callbacks;
  }
  std::set<std::string> recovered;
  std::unique_ptr<ReplicatedShard> shard;
};
using RecoveringCluster = ControlCluster<RecoveringNode>;

std::optional<std::size_t> leader_of(RecoveringCluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index)
    if (cluster.running(index) && cluster.application(index).shard->leads()) return index;
  return std::nullopt;
}

std::size_t wait_for_leader(RecoveringCluster& cluster) {
  REQUIRE(cluster.simulation().run_until([&] { return leader_of(cluster).has_value(); }, Millis(8000)));
  return *leader_of(cluster);
}

// Writes a record that reaches only the leader's own replica, and crashes the leader.
std::size_t write_to_own_replica_only(RecoveringCluster& cluster) {
  const std::size_t writer = wait_for_leader(cluster);
  cluster.simulation().isolate(writer);
  cluster.application(writer).shard->write({ShardChange{"k", "v"}}, [](ShardWriteOutcome) {});
  cluster.simulation().run_for(Millis(60));
  cluster.crash(writer);
  cluster.simulation().heal();
  return writer;
}

TEST_CASE("the recovered entries are on a majority before a holder leads") {
  std::size_t recovered_count = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    RecoveringCluster cluster(seed, 5);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, Millis(8000)));
    const std::size_t writer = write_to_own_replica_only(cluster);
    // Two other members are down, so the next holder needs the writer's replica for a majority.
    const std::size_t down[] = {(writer + 3) % 5, (writer + 4) % 5};
    for (const std::size_t index : down) cluster.crash(index);
    cluster.start(writer);
    const std::size_t second = wait_for_leader(cluster);
    if (!cluster.application(second).recovered.contains("k")) continue;
    ++recovered_count;
    // All members crash at once. The second holder and the writer stay down, so only records that reached the
    // disks of the others remain.
    for (std::size_t index = 0; index < 5; ++index) cluster.crash(index);
    for (std::size_t index = 0; index < 5; ++index)
      if (index != second && index != writer) cluster.start(index);
    CHECK(cluster.application(wait_for_leader(cluster)).recovered.contains("k"));
  }
  CHECK(recovered_count > 10);
}

}  // namespace
}  // namespace winchhall::cluster::sim
