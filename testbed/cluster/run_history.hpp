// Checks the runs that fake leaves have executed, independently of the scheduler.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "testbed/cluster/fake_leaf.hpp"

namespace winchhall::testbed::cluster {

// The runs of one leaf, from its start to its end.
struct LeafHistory {
  std::string leaf;  // ID
  std::vector<FakeLeafTaskStart> starts;
};

// Returns the violations of these rules, one line each; empty if there are none.
// - A task must not have two runs at the same time. A run that hasn't ended lasts until `now`.
// - A task must not be started after one of its runs ended as done and the leader recorded that end.
// The rules don't hold for speculative and long-running tasks, so there must be none of them.
std::vector<std::string> find_run_faults(const std::vector<LeafHistory>& leaves,
                                         std::chrono::steady_clock::time_point now);

}  // namespace winchhall::testbed::cluster
