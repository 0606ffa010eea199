// A lease holder that is cut off from the other members: it names no later epoch, and its return deposes
// nobody.
#include <catch2/catch.hpp>

#include "consensus_candidate.hpp"

namespace winchhall::cluster::sim {
namespace {

// Epoch of the leader that a node would send callers to; 0: none.
std::uint64_t named_epoch(CandidateCluster& cluster, std::size_t index) {
  for (const wire::ShardLeader& leader : cluster.group(index).leaders())
    if (leader.shard() == kShard) return leader.epoch();
  return 0;
}

void play(std::uint64_t seed, std::size_t machines) {
  CAPTURE(seed, machines);
  CandidateCluster cluster(seed, machines);
  SimWorld& world = cluster.world();
  cluster.bootstrap();
  REQUIRE(world.run_until([&] { return cluster.settled() && leader_of(cluster).has_value(); }, Millis(5000)));
  const std::size_t first = *leader_of(cluster);
  world.isolate(first);
  REQUIRE(world.run_until(
      [&] {
        const auto leader = leader_of(cluster);
        return leader.has_value() && *leader != first;
      },
      Millis(4000)));
  const std::size_t second = *leader_of(cluster);
  const std::uint64_t epoch = cluster.extra(second).shard->epoch();
  std::uint64_t highest = 0;
  world.on_event([&] { highest = std::max(highest, named_epoch(cluster, first)); });
  world.run_for(Millis(5000));
  CHECK(highest <= epoch);
  world.heal();
  world.run_for(Millis(3000));
  world.on_event(nullptr);
  CHECK(leader_of(cluster) == second);
  CHECK(cluster.extra(second).shard->epoch() == epoch);
}

TEST_CASE("a holder that is cut off names no later leader and deposes none when it returns") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    play(seed, 3);
    play(seed, 5);
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
