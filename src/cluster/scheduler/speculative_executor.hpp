// Starts second runs of tasks that take unexpectedly long.
#pragma once

#include <vector>

#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// Speculative execution (as in Dean and Ghemawat, "MapReduce", 2004): if a stage is marked `speculative` and
// the only run of one of its tasks takes much longer than estimated, the task gets a second run on another
// leaf. The first run that succeeds completes the task, and the other is stopped. Only spare capacity is
// used: no second run is started while tasks wait.
class SpeculativeExecutor {
 public:
  SpeculativeExecutor(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // Orders second runs for slow tasks. Must be called at a fixed interval.
  void check();

 private:
  // Stages with running tasks that may have second runs.
  std::vector<StageInstance*> find_stages() const;
  void check_stage(StageInstance& stage);
  // True if the task has one run, which is slow, and the job would survive a failure of that run.
  bool needs_second_run(const StageInstance& stage, const Task& task) const;
  // The leaf with the least load among those with capacity, except `first_leaf`; null: there is none.
  Leaf* choose_leaf(const StageInstance& stage, const Leaf& first_leaf);

  SchedulerState& state_;
  RunTable& runs_;
};

}  // namespace winchhall::cluster::scheduling
