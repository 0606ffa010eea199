// A lease holder that is partitioned from the other members reports no later epoch, and does not depose its
// successor when the partition heals.
#include <catch2/catch.hpp>

#include "tests/cluster/consensus/lease_candidate.hpp"

namespace winchhall::cluster::sim {
namespace {

// Epoch of the leader to which a node would direct callers; 0: none.
std::uint64_t reported_epoch(CandidateCluster& cluster, std::size_t index) {
  for (const wire::ShardLeader& leader : cluster.group(index).leaders())
    if (leader.shard() == kShard) return leader.epoch();
  return 0;
}

void run_partition(std::uint64_t seed, std::size_t machines) {
  CAPTURE(seed, machines);
  CandidateCluster cluster(seed, machines);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                               Millis(5000)));
  const std::size_t first = *leader_of(cluster);
  simulation.isolate(first);
  REQUIRE(simulation.run_until(
      [&] {
        const auto leader = leader_of(cluster);
        return leader.has_value() && *leader != first;
      },
      Millis(4000)));
  const std::size_t second = *leader_of(cluster);
  const std::uint64_t epoch = cluster.application(second).shard->epoch();
  std::uint64_t highest = 0;
  simulation.on_event([&] { highest = std::max(highest, reported_epoch(cluster, first)); });
  simulation.run_for(Millis(5000));
  CHECK(highest <= epoch);
  simulation.heal();
  simulation.run_for(Millis(3000));
  simulation.on_event(nullptr);
  CHECK(leader_of(cluster) == second);
  CHECK(cluster.application(second).shard->epoch() == epoch);
}

TEST_CASE("a partitioned holder reports no later leader and deposes none when it returns") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    run_partition(seed, 3);
    run_partition(seed, 5);
  }
}

// Requests a lease from one acceptor on behalf of another member. Returns true if it was granted.
bool request_lease_from(ControlCluster<>& cluster, std::size_t acceptor, std::size_t holder, bool asking) {
  wire::Envelope envelope;
  wire::LeaseRequest& request = *envelope.mutable_lease_request();
  request.set_shard(kShard);
  request.set_epoch(1);
  request.set_holder(cluster.group(holder).member_id());
  request.set_session(7);
  request.set_holder_address(cluster.node(holder).address());
  request.set_member_epoch(cluster.group(acceptor).members().epoch());
  request.set_asking(asking);
  bool granted = false;
  cluster.group(acceptor).handle(
      envelope, [&granted](const wire::Envelope& answer) { granted = answer.lease_reply().granted(); });
  cluster.simulation().run_until([&granted] { return granted; }, Millis(100));
  return granted;
}

TEST_CASE("a lease is not reported before a majority granted it") {
  ControlCluster<> cluster(3, 5);
  cluster.bootstrap();
  REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(6000)));
  REQUIRE(request_lease_from(cluster, 0, 1, true));
  CHECK(cluster.group(0).leaders().empty());
  cluster.simulation().run_for(Millis(400));  // the others have received pings
  CHECK(cluster.group(2).leaders().empty());
  REQUIRE(request_lease_from(cluster, 0, 1, false));
  REQUIRE(cluster.group(0).leaders().size() == 1);
  CHECK(cluster.group(0).leaders()[0].address() == cluster.node(1).address());
}

TEST_CASE("restarted acceptors grant no lease until any lease granted before the restart has expired") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CandidateCluster cluster(seed, 3);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                                 Millis(5000)));
    simulation.run_for(Millis(simulation.random_between(0, 300)));
    const std::size_t holder = *leader_of(cluster);
    simulation.isolate(holder);
    for (const std::size_t other : {(holder + 1) % 3, (holder + 2) % 3}) {
      cluster.crash(other);
      cluster.start(other);
    }
    std::size_t most = 0;
    simulation.on_event([&] {
      std::size_t leaders = 0;
      for (std::size_t index = 0; index < 3; ++index)
        if (cluster.application(index).shard->leads()) ++leaders;
      most = std::max(most, leaders);
    });
    simulation.run_for(Millis(3000));
    simulation.on_event(nullptr);
    CHECK(most == 1);
    CHECK(leader_of(cluster).has_value());
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
