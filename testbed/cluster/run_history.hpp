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

// A job whose cancel was answered.
struct CancelledJob {
  std::string job;  // ID
  std::chrono::steady_clock::time_point answered;
};

// Returns one line for each start of a task of a cancelled job later than `max_delay` after the answer.
std::vector<std::string> find_starts_after_cancel(const std::vector<LeafHistory>& leaves,
                                                  const std::vector<CancelledJob>& cancelled,
                                                  std::chrono::milliseconds max_delay);

// Returns the violations of these rules, one line each; empty if there are none.
// - A task must not have two runs at the same time. A run that hasn't ended lasts until `now`.
// - A task must not be started after one of its runs ended as done and the leader recorded that end.
// The rules don't hold for speculative tasks, so there must be none of them. Tasks that last never end as
// done.
std::vector<std::string> find_run_faults(const std::vector<LeafHistory>& leaves,
                                         std::chrono::steady_clock::time_point now);

}  // namespace winchhall::testbed::cluster
