// What a new holder found and acts upon is found by the next one too, though the holder lasts for a moment
// only.
#include <catch2/catch.hpp>

#include "tests/cluster/consensus/consensus_candidate.hpp"

namespace winchhall::cluster::sim {
namespace {

// Takes part in one shard and keeps what it was told when it began to lead.
struct Finder {
  Finder(SimNode&, ControlGroup& group) : shard(group.open_shard(kShard, callbacks())) {}
  ShardCallbacks callbacks() {
    ShardCallbacks callbacks;
    callbacks.on_lead = [this](std::uint64_t, const std::vector<ShardEntry>& entries) {
      found.clear();
      for (const ShardEntry& entry : entries) found.insert(entry.key);
    };
    callbacks.on_lost = [] {};
    return callbacks;
  }
  std::set<std::string> found;
  std::unique_ptr<ReplicatedShard> shard;
};
using FinderCluster = ControlCluster<Finder>;

std::optional<std::size_t> leader_of(FinderCluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index)
    if (cluster.running(index) && cluster.extra(index).shard->leads()) return index;
  return std::nullopt;
}

std::size_t wait_for_leader(FinderCluster& cluster) {
  REQUIRE(cluster.simulation().run_until([&] { return leader_of(cluster).has_value(); }, Millis(8000)));
  return *leader_of(cluster);
}

// Writes a record that only the leader's own replica gets, and ends the leader.
std::size_t leave_unconfirmed(FinderCluster& cluster) {
  const std::size_t writer = wait_for_leader(cluster);
  cluster.simulation().isolate(writer);
  cluster.extra(writer).shard->write({ShardChange{"k", "v"}}, [](ShardWriteOutcome) {});
  cluster.simulation().run_for(Millis(60));
  cluster.crash(writer);
  cluster.simulation().heal();
  return writer;
}

TEST_CASE("what a holder leads with is on a majority before it leads") {
  std::size_t found_it = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    FinderCluster cluster(seed, 5);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, Millis(8000)));
    const std::size_t writer = leave_unconfirmed(cluster);
    // Two of the others are away: the next holder needs the writer's replica.
    const std::size_t away[] = {(writer + 3) % 5, (writer + 4) % 5};
    for (const std::size_t index : away) cluster.crash(index);
    cluster.start(writer);
    const std::size_t second = wait_for_leader(cluster);
    if (!cluster.extra(second).found.contains("k")) continue;
    ++found_it;
    // It ends at once, and the writer with it; of what it sent only what has arrived and is synced is left.
    for (std::size_t index = 0; index < 5; ++index) cluster.crash(index);
    for (std::size_t index = 0; index < 5; ++index)
      if (index != second && index != writer) cluster.start(index);
    CHECK(cluster.extra(wait_for_leader(cluster)).found.contains("k"));
  }
  CHECK(found_it > 10);
}

}  // namespace
}  // namespace winchhall::cluster::sim
