// Randomized simulations: RuleChecker's rules for jobs hold under random workloads and injected faults.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/random_workload.hpp"

namespace winchhall::cluster::test {
namespace {

TEST_CASE("the rules hold without faults") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) simulate(seed, {}, 40);
}

TEST_CASE("the rules hold when messages are lost, delayed or duplicated") {
  for (std::uint64_t seed = 1000; seed < 1060; ++seed) simulate(seed, {.loss = 0.1, .delay = 0.05}, 40);
}

TEST_CASE("the rules hold when leaves crash and drain") {
  for (std::uint64_t seed = 2000; seed < 2060; ++seed)
    simulate(seed, {.leaf_crashes = 0.3, .drains = 0.3}, 40);
}

TEST_CASE("the rules hold when worker-agents restart and are partitioned") {
  for (std::uint64_t seed = 3000; seed < 3060; ++seed)
    simulate(seed, {.worker_restarts = 0.5, .partitions = 0.3}, 40);
}

TEST_CASE("the rules hold when leaders change") {
  for (std::uint64_t seed = 4000; seed < 4060; ++seed) simulate(seed, {.leader_changes = 0.4}, 40);
}

// Guards against the failure described in run_table_test.cpp, which users saw and the tests above can't show:
// there a crashed leaf restarts before its lease expires, so that no worker-agent reports a leaf that is lost
// for good to a new leader.
TEST_CASE("the rules hold when leaves are lost for longer than their lease and leaders change") {
  for (std::uint64_t seed = 8000; seed < 8100; ++seed)
    simulate(seed, {.leaf_losses = 0.3, .leader_changes = 0.3}, 40);
}

TEST_CASE("the rules hold when leaves are lost for longer than their lease among all other faults") {
  for (std::uint64_t seed = 9000; seed < 9100; ++seed)
    simulate(seed,
             {.loss = 0.05,
              .delay = 0.05,
              .leaf_crashes = 0.1,
              .leaf_losses = 0.2,
              .worker_restarts = 0.1,
              .partitions = 0.2,
              .leader_changes = 0.3,
              .drains = 0.1},
             40);
}

TEST_CASE("all jobs end although one leaf fails every run") {
  for (std::uint64_t seed = 6000; seed < 6030; ++seed)
    simulate(seed, {}, 40, [](SimulatedLeaf& leaf) { leaf.fails_everything = true; });
}

TEST_CASE("all jobs end although tasks on one leaf stall") {
  for (std::uint64_t seed = 7000; seed < 7030; ++seed)
    simulate(seed, {}, 40, [](SimulatedLeaf& leaf) { leaf.stalls = true; });
}

TEST_CASE("the rules hold when all faults are injected at once") {
  for (std::uint64_t seed = 5000; seed < 5100; ++seed)
    simulate(seed,
             {.loss = 0.05,
              .delay = 0.05,
              .leaf_crashes = 0.2,
              .worker_restarts = 0.2,
              .partitions = 0.2,
              .leader_changes = 0.2,
              .drains = 0.1},
             40);
}

}  // namespace
}  // namespace winchhall::cluster::test
