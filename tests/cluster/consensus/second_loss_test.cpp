// A second failure right after a repair or a replacement never leaves the group without a majority and never
// loses an acknowledged value.
#include <catch2/catch.hpp>
#include <cstdio>

#include "cluster/consensus/member_record.hpp"
#include "tests/cluster/consensus/register_calls.hpp"

namespace winchhall::cluster::sim {
namespace {

using Cluster = ControlCluster<>;

// Documented bound: a new or restarted machine counts as failed for this long after its start.
constexpr Millis kCatchUp{4000};
constexpr Millis kStableAfterFaults{9000};
// An excess member that is unreachable for this long has been removed.
constexpr Millis kExcessMemberRemoved{34000};

void found_group(Cluster& cluster) {
  cluster.bootstrap();
  cluster.use_fresh_seeds();
  REQUIRE(wait_until_stable(cluster, Millis(6000)));
  cluster.simulation().run_for(Millis(6000));  // until the group no longer grows immediately
}

// The `wiped` machines lose their disks while all others lose power. All machines but the `gone` ones
// restart.
void lose_disks_and_power(Cluster& cluster, const std::set<std::size_t>& wiped,
                          const std::set<std::size_t>& gone) {
  Simulation& simulation = cluster.simulation();
  cluster.crash_all();
  for (const std::size_t index : wiped) cluster.node(index).lose_disk();
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    if (gone.contains(index)) continue;
    simulation.in(Millis(simulation.random_between(0, 1500)), [&cluster, index] { cluster.start(index); });
  }
  simulation.run_for(Millis(1501));
}

TEST_CASE("a successor holds all state within the time to catch up, so that the next loss is tolerated") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    for (const std::size_t machines : {3, 5, 7}) {
      CAPTURE(seed, machines);
      const std::size_t tolerated = machines == 7 ? 2 : 1;
      Cluster cluster(seed, machines);
      found_group(cluster);
      REQUIRE(append(cluster, 0, "x"));
      std::set<std::size_t> gone;
      for (std::size_t loss = 0; loss < tolerated; ++loss) gone.insert((seed + loss) % machines);
      for (const std::size_t index : gone) cluster.crash(index);
      cluster.simulation().run_for(Millis(1000));
      for (std::size_t loss = 0; loss < tolerated; ++loss) cluster.start(cluster.add_machine());
      cluster.simulation().run_for(kCatchUp);
      std::set<std::size_t> wiped;
      for (std::size_t index = 0; index < machines && wiped.size() < tolerated; ++index)
        if (!gone.contains(index)) wiped.insert(index);
      lose_disks_and_power(cluster, wiped, gone);
      REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
      CHECK(read(cluster, machines) == "x");
    }
  }
}

TEST_CASE("a machine leaves the group before its shutdown in a planned replacement") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    for (const std::size_t machines : {3, 5, 7}) {
      CAPTURE(seed, machines);
      Cluster cluster(seed, machines);
      found_group(cluster);
      REQUIRE(append(cluster, 0, "x"));
      const std::size_t successor = cluster.add_machine();
      cluster.start(successor);
      cluster.simulation().run_for(kCatchUp);
      const std::size_t old = seed % machines;
      bool left = false;
      cluster.group(old).leave(Millis(2000), [&left] { left = true; });
      REQUIRE(cluster.simulation().run_until([&left] { return left; }, Millis(2000)));
      cluster.crash(old);
      CHECK(static_cast<std::size_t>(cluster.group(successor).members().members_size()) == machines);
      const std::size_t wiped = (old + 1) % machines;
      lose_disks_and_power(cluster, {wiped}, {old});
      REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
      CHECK(read(cluster, successor) == "x");
    }
  }
}

TEST_CASE("an excess member that ended without leaving is removed") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 3);
    found_group(cluster);
    REQUIRE(append(cluster, 0, "x"));
    const std::size_t successor = cluster.add_machine();
    cluster.start(successor);
    cluster.simulation().run_for(kCatchUp);
    const std::size_t old = seed % 3;
    cluster.crash(old);
    cluster.simulation().run_for(kExcessMemberRemoved);
    lose_disks_and_power(cluster, {(old + 1) % 3}, {old});
    REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
    CHECK(read(cluster, successor) == "x");
  }
}

TEST_CASE(
    "a planned shutdown leaves a group of odd size unchanged, and a restart brings the same member back") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    found_group(cluster);
    const std::size_t index = seed % 5;
    const std::uint64_t id = cluster.group(index).member_id();
    const std::uint64_t epoch = cluster.group(index).members().epoch();
    bool left = false;
    cluster.group(index).leave(Millis(2000), [&left] { left = true; });
    CHECK(left);
    cluster.crash(index);
    cluster.simulation().run_for(Millis(3000));
    cluster.start(index);
    REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
    CHECK(cluster.group(index).member_id() == id);
    CHECK(cluster.group(index).members().epoch() == epoch);
  }
}

TEST_CASE("a member can't leave while another one is unreachable: it may hold what that one lacks") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 4);
    found_group(cluster);
    REQUIRE(cluster.group(0).members().members_size() == 4);
    const std::size_t unreachable = seed % 4;
    const std::size_t leaving = (seed + 1) % 4;
    cluster.simulation().isolate(unreachable);
    cluster.simulation().run_for(Millis(1200));
    bool left = false;
    cluster.group(leaving).leave(Millis(300), [&left] { left = true; });
    REQUIRE(cluster.simulation().run_until([&left] { return left; }, Millis(400)));
    CHECK(cluster.group(leaving).members().members_size() == 4);
  }
}

TEST_CASE("a newcomer votes soon after its admission") {
  std::int64_t longest_ms = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, seed % 2 == 0 ? 3 : 5);
    Simulation& simulation = cluster.simulation();
    found_group(cluster);
    REQUIRE(append(cluster, 0, "x"));
    const std::size_t newcomer = cluster.add_machine();
    cluster.start(newcomer);
    const auto admitted = [&] {
      return find_member(cluster.group(0).members(), cluster.group(newcomer).member_id()) != nullptr;
    };
    REQUIRE(simulation.run_until(admitted, kCatchUp));
    const std::int64_t admitted_ms = simulation.now_ms();
    REQUIRE(simulation.run_until([&] { return cluster.group(newcomer).votes(); }, kCatchUp));
    longest_ms = std::max(longest_ms, simulation.now_ms() - admitted_ms);
  }
  std::printf("a newcomer is a member without a vote for %lld ms at most\n",
              static_cast<long long>(longest_ms));
  CHECK(longest_ms <= 100);
}

// A repair of the group, or a planned change, during which a test injects faults.
struct Repair {
  const char* name;
  std::size_t machines;
  // Begins the repair, which completes within `kCatchUp`.
  void (*begin)(Cluster& cluster, std::uint64_t seed);
};

void wipe_one(Cluster& cluster, std::uint64_t seed) { cluster.wipe(seed % cluster.size()); }

void replace_one(Cluster& cluster, std::uint64_t seed) {
  cluster.node(seed % cluster.size()).lose_disk();
  cluster.crash(seed % cluster.size());
  cluster.simulation().run_for(Millis(1000));
  cluster.start(cluster.add_machine());
}

void add_one(Cluster& cluster, std::uint64_t) { cluster.start(cluster.add_machine()); }

void leave_one(Cluster& cluster, std::uint64_t seed) {
  add_one(cluster, seed);
  cluster.simulation().run_for(kCatchUp);
  cluster.group(seed % 3).leave(Millis(2000), [] {});
}

constexpr Repair kRepairs[] = {{"wiped", 3, wipe_one},       {"wiped", 5, wipe_one},
                               {"replaced", 3, replace_one}, {"replaced", 5, replace_one},
                               {"added", 3, add_one},        {"leaves", 3, leave_one}};

// The machines that must not restart because they were replaced.
std::set<std::size_t> gone_after(const Repair& repair, std::uint64_t seed) {
  if (repair.begin == replace_one) return {seed % repair.machines};
  return {};
}

TEST_CASE("all machines lose power at any event of a repair: nothing is lost, and the repair completes") {
  constexpr int kEventStep = 3;
  for (const Repair& repair : kRepairs) {
    bool more = true;
    for (int events = 0; more && events < 900; events += kEventStep) {
      const std::uint64_t seed = 1 + static_cast<std::uint64_t>(events);
      CAPTURE(repair.name, repair.machines, events);
      Cluster cluster(seed, repair.machines);
      found_group(cluster);
      REQUIRE(append(cluster, 0, "x"));
      const std::int64_t end_us = cluster.simulation().now_us() + kCatchUp.count() * 1000;
      repair.begin(cluster, seed);
      for (int event = 0; event < events; ++event) cluster.simulation().step();
      more = cluster.simulation().now_us() < end_us;
      lose_disks_and_power(cluster, {}, gone_after(repair, seed));
      REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
      CHECK(read(cluster, cluster.size() - 1) == "x");
    }
  }
}

TEST_CASE("losses of any kind follow one another at the shortest documented interval") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    for (const std::size_t machines : {3, 5}) {
      CAPTURE(seed, machines);
      Cluster cluster(seed, machines);
      Simulation& simulation = cluster.simulation();
      found_group(cluster);
      std::string expected;
      std::set<std::size_t> gone;
      for (int round = 0; round < 5; ++round) {
        CAPTURE(round);
        std::vector<std::size_t> present;
        for (std::size_t index = 0; index < cluster.size(); ++index)
          if (cluster.running(index)) present.push_back(index);
        std::shuffle(present.begin(), present.end(),
                     std::mt19937_64(seed + static_cast<std::uint64_t>(round)));
        const std::string marker = std::to_string(round);
        REQUIRE(append(cluster, present[1], marker));
        expected += marker;
        const std::size_t lost = present[0];
        const std::int64_t kind = simulation.random_between(0, 3);
        if (kind == 0) {
          cluster.wipe(lost);
        } else if (kind == 1) {
          cluster.crash(lost);
          gone.insert(lost);
          simulation.run_for(Millis(1000));
          cluster.start(cluster.add_machine());
        } else if (kind == 2) {
          cluster.start(cluster.add_machine());
          simulation.run_for(kCatchUp);
          bool left = false;
          cluster.group(lost).leave(Millis(2000), [&left] { left = true; });
          simulation.run_until([&left] { return left; }, Millis(2100));
          cluster.crash(lost);
          gone.insert(lost);
        } else {
          lose_disks_and_power(cluster, {lost}, gone);
        }
        simulation.run_for(kCatchUp);
        REQUIRE(append(cluster, present[1], "."));
        expected += ".";
      }
      REQUIRE(wait_until_stable(cluster, kStableAfterFaults));
      CHECK(read(cluster, cluster.size() - 1) == expected);
    }
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
