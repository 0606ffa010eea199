// Control nodes of adjacent versions in one group: an older version omits the newer fields of messages, a
// later version adds fields that the present version does not know.
#include <catch2/catch.hpp>

#include "tests/cluster/consensus/lease_candidate.hpp"

namespace winchhall::cluster::sim {
namespace {

enum class Version { older, present, later };

void rewrite_as_version(Version version, wire::Envelope& message) {
  constexpr char kUnknownField[] = "\xf8\xff\x03\x01";  // number 8191, a varint
  if (version == Version::later) REQUIRE(message.MergeFromString(kUnknownField));
  if (version != Version::older) return;
  if (message.has_lease_request()) message.mutable_lease_request()->clear_asking();
  if (!message.has_member_ping()) return;
  for (wire::ShardLeader& leader : *message.mutable_member_ping()->mutable_leaders())
    leader.clear_unconfirmed();
}

void run_rolling_restart(std::uint64_t seed, const std::vector<Version>& versions) {
  CAPTURE(seed);
  CandidateCluster cluster(seed, versions.size());
  Simulation& simulation = cluster.simulation();
  simulation.rewrite_messages(
      [&](std::size_t from, wire::Envelope& message) { rewrite_as_version(versions.at(from), message); });
  simulation.on_event([&] {
    std::size_t leaders = 0;
    for (std::size_t index = 0; index < cluster.size(); ++index)
      if (cluster.running(index) && cluster.application(index).shard->leads()) ++leaders;
    if (leaders > 1) FAIL("two leaders at once");
  });
  cluster.bootstrap();
  REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                               Millis(6000)));
  std::uint64_t epoch = 0;
  for (int change = 0; change < 4; ++change) {
    const std::size_t first = *leader_of(cluster);
    CHECK(cluster.application(first).shard->epoch() > epoch);
    epoch = cluster.application(first).shard->epoch();
    cluster.crash(first);
    REQUIRE(simulation.run_until([&] { return leader_of(cluster).has_value(); }, Millis(4000)));
    cluster.start(first);
    REQUIRE(simulation.run_until([&] { return cluster.is_stable() && leader_of(cluster).has_value(); },
                                 Millis(6000)));
  }
  simulation.on_event(nullptr);
}

TEST_CASE("a group of older and present versions elects a new leader after each crash of a leader") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    run_rolling_restart(
        seed, {Version::older, Version::present, Version::older, Version::present, Version::present});
    run_rolling_restart(seed,
                        {Version::present, Version::older, Version::older, Version::older, Version::present});
  }
}

TEST_CASE("a group of present and later versions elects a new leader after each crash of a leader") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed)
    run_rolling_restart(seed,
                        {Version::later, Version::present, Version::later, Version::present, Version::later});
}

}  // namespace
}  // namespace winchhall::cluster::sim
