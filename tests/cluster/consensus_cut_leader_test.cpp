// A lease holder that is cut off from the other members: it names no later epoch, and its return deposes
// nobody.
#include <catch2/catch.hpp>

#include "consensus_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kShard = "service/one";

// Takes part in one shard on one node.
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
using Cluster = ControlCluster<Candidate>;

std::optional<std::size_t> leader_of(Cluster& cluster) {
  for (std::size_t index = 0; index < cluster.size(); ++index)
    if (cluster.extra(index).shard->leads()) return index;
  return std::nullopt;
}

// Epoch of the leader that a node would send callers to; 0: none.
std::uint64_t named_epoch(Cluster& cluster, std::size_t index) {
  for (const wire::ShardLeader& leader : cluster.group(index).leaders())
    if (leader.shard() == kShard) return leader.epoch();
  return 0;
}

void play(std::uint64_t seed, std::size_t machines) {
  CAPTURE(seed, machines);
  Cluster cluster(seed, machines);
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
