// A machine that joins the group copies the state as a learner before it counts for a quorum, so that the
// group tolerates as many failures as before at every point of the join.
#include <catch2/catch.hpp>

#include "cluster/consensus/member_record.hpp"
#include "tests/cluster/consensus/register_calls.hpp"

namespace winchhall::cluster::sim {
namespace {

using Cluster = ControlCluster<>;

// Documented bound: a new or restarted machine counts as failed for this long after its start.
constexpr Millis kCatchUp{4000};
constexpr Millis kStableAfterFaults{9000};
// A learner that is unreachable for this long has been removed from the record.
constexpr Millis kLearnerRemoved{36000};
constexpr int kMaxEvents = 4000;

void found_group(Cluster& cluster) {
  cluster.bootstrap();
  cluster.use_fresh_seeds();
  REQUIRE(wait_until_stable(cluster, Millis(6000)));
  cluster.simulation().run_for(Millis(6000));  // until the group no longer grows immediately
  REQUIRE(append(cluster, 0, "x"));
}

// Appends unless an interrupted attempt did so already. False: no answer in time.
bool append_once(Cluster& cluster, std::size_t index, const std::string& marker) {
  bool ended = false;
  bool chosen = false;
  cluster.group(index).registers().update(
      "list",
      [marker](const std::string& current) -> std::optional<std::string> {
        if (current.ends_with(marker)) return std::nullopt;
        return current + marker;
      },
      Millis(3000),
      [&](const std::optional<RegisterValue>& value) {
        ended = true;
        chosen = value.has_value();
      });
  cluster.simulation().run_until([&] { return ended; }, Millis(3500));
  return chosen;
}

void lose_permanently(Cluster& cluster, std::size_t index) {
  cluster.crash(index);
  cluster.node(index).lose_disk();
}

// True once the join is complete: the newcomer votes and is confirmed.
bool has_joined(Cluster& cluster, std::size_t newcomer) {
  return cluster.running(newcomer) && cluster.group(newcomer).votes() &&
         cluster.group(newcomer).members().unconfirmed() == 0;
}

struct Join {
  std::size_t machines;
  std::size_t replaced;  // number of machines that fail permanently one second before their successors start
};

// Begins the join and returns the last machine that joins.
std::size_t begin_join(Cluster& cluster, const Join& join) {
  for (std::size_t index = 0; index < join.replaced; ++index) lose_permanently(cluster, index);
  cluster.simulation().run_for(Millis(1000));
  std::size_t newcomer = cluster.add_machine();
  cluster.start(newcomer);
  for (std::size_t more = 1; more < join.replaced; ++more) {
    newcomer = cluster.add_machine();
    cluster.start(newcomer);
  }
  return newcomer;
}

// For every `event_step`-th event of the join: runs a new cluster up to that event and calls `fault`.
template <typename Fault>
void run_to_each_event(const Join& join, int event_step, const Fault& fault) {
  bool joined = false;
  std::size_t learning = 0;
  std::size_t unconfirmed = 0;
  for (int events = 0; !joined && events < kMaxEvents; events += event_step) {
    CAPTURE(join.machines, join.replaced, events);
    Cluster cluster(1 + static_cast<std::uint64_t>(events), join.machines);
    found_group(cluster);
    const std::size_t newcomer = begin_join(cluster, join);
    for (int event = 0; event < events; ++event) cluster.simulation().step();
    joined = has_joined(cluster, newcomer);
    const wire::MemberRecord& record = cluster.group(join.machines - 1).members();
    if (record.learners_size() > 0) ++learning;
    if (record.unconfirmed() != 0) ++unconfirmed;
    fault(cluster, newcomer);
  }
  CHECK(joined);
  CHECK(learning > 0);
  if (join.machines % 2 == 1 && join.replaced == 0) CHECK(unconfirmed > 0);
}

TEST_CASE("a member fails permanently at any event of a join: the others continue") {
  const Join joins[] = {{3, 0}, {5, 0}, {5, 1}, {7, 2}};
  for (const Join& join : joins) {
    run_to_each_event(join, 2, [&join](Cluster& cluster, std::size_t newcomer) {
      const std::size_t lost = join.replaced;
      const std::size_t other = lost + 1;
      lose_permanently(cluster, lost);
      REQUIRE(append_once(cluster, other, "y"));
      cluster.simulation().run_for(kCatchUp);
      REQUIRE(cluster.group(newcomer).votes());
      CHECK(read(cluster, newcomer) == "xy");
    });
  }
}

TEST_CASE("a member loses its disk while all others lose power at any event of a join") {
  for (const Join& join : {Join{3, 0}, Join{5, 1}}) {
    run_to_each_event(join, 5, [&join](Cluster& cluster, std::size_t newcomer) {
      cluster.crash_all();
      cluster.node(join.replaced).lose_disk();
      for (std::size_t index = join.replaced + 1; index < cluster.size(); ++index) cluster.start(index);
      cluster.simulation().run_for(kCatchUp);
      REQUIRE(append_once(cluster, join.machines - 1, "y"));
      cluster.simulation().run_for(kCatchUp);
      CHECK(read(cluster, newcomer) == "xy");
    });
  }
}

TEST_CASE("a machine that joins crashes at any event and comes back with its disk") {
  run_to_each_event({3, 0}, 3, [](Cluster& cluster, std::size_t newcomer) {
    cluster.crash(newcomer);
    REQUIRE(append_once(cluster, 0, "y"));
    cluster.start(newcomer);
    REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
    CHECK(read(cluster, newcomer) == "xy");
    lose_permanently(cluster, 1);
    REQUIRE(append_once(cluster, 0, "z"));
  });
}

TEST_CASE("a machine that joins loses its disk at any event and joins anew") {
  run_to_each_event({3, 0}, 3, [](Cluster& cluster, std::size_t newcomer) {
    cluster.wipe(newcomer);
    REQUIRE(append_once(cluster, 0, "y"));
    REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
    CHECK(read(cluster, newcomer) == "xy");
    CHECK(cluster.group(0).members().members_size() == 4);
    CHECK(cluster.group(0).members().learners_size() == 0);
  });
}

TEST_CASE("a machine that joins fails permanently at any event: the group continues and removes a learner") {
  run_to_each_event({3, 0}, 9, [](Cluster& cluster, std::size_t newcomer) {
    lose_permanently(cluster, newcomer);
    REQUIRE(append_once(cluster, 0, "y"));
    cluster.simulation().run_for(kLearnerRemoved);
    CHECK(cluster.group(0).members().learners_size() == 0);
    CHECK(cluster.group(0).members().members_size() == 3);
    lose_permanently(cluster, 1);
    REQUIRE(append_once(cluster, 0, "z"));
  });
}

TEST_CASE("a learner counts for no quorum: with two of three founders lost nothing is acknowledged") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 3);
    found_group(cluster);
    const std::size_t newcomer = cluster.add_machine();
    cluster.start(newcomer);
    const auto is_learner = [&] { return cluster.group(0).members().learners_size() == 1; };
    REQUIRE(cluster.simulation().run_until(is_learner, kCatchUp));
    cluster.crash(1);
    cluster.crash(2);
    REQUIRE(cluster.group(0).members().members_size() == 3);
    CHECK_FALSE(append_once(cluster, 0, "y"));
    CHECK_FALSE(cluster.group(newcomer).votes());
  }
}

TEST_CASE("a machine joins without becoming a learner if a member's version knows no learners") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 3);
    cluster.mark_without_learners(seed % 3);
    found_group(cluster);
    const std::size_t newcomer = cluster.add_machine();
    cluster.start(newcomer);
    const auto is_learner = [&] { return cluster.group(0).members().learners_size() > 0; };
    CHECK_FALSE(cluster.simulation().run_until(is_learner, kCatchUp));
    REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
    CHECK(read(cluster, newcomer) == "x");
  }
}

TEST_CASE("a machine whose version knows no learners joins without becoming one") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 3);
    found_group(cluster);
    const std::size_t newcomer = cluster.add_machine();
    cluster.mark_without_learners(newcomer);
    cluster.start(newcomer);
    const auto is_learner = [&] { return cluster.group(0).members().learners_size() > 0; };
    CHECK_FALSE(cluster.simulation().run_until(is_learner, kCatchUp));
    REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
    CHECK(read(cluster, newcomer) == "x");
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
