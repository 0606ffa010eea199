// Starts second runs of tasks that take unexpectedly long.
#pragma once

#include <vector>

#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// Speculative execution (as in Dean and Ghemawat, "MapReduce", 2004): a task of a stage marked `speculative`
// whose only run lasts far beyond its estimate gets a second run on another leaf; the first to end done
// counts and the other is stopped. Only spare capacity is used: nothing is done while tasks wait.
class SpeculativeExecutor {
 public:
  SpeculativeExecutor(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // Orders second runs where they are due. To be called at a fixed interval.
  void check();

 private:
  // Stages with running tasks that may have second runs.
  std::vector<StageInstance*> find_stages() const;
  void check_stage(StageInstance& stage);
  // True if the task has one run, which is slow, and a failure of it would not end the job.
  bool needs_second_run(const StageInstance& stage, const Task& task) const;
  // The leaf with the least load other than `first_leaf`; null: none has capacity.
  Leaf* choose_leaf(const StageInstance& stage, const Leaf& first_leaf);

  SchedulerState& state_;
  RunTable& runs_;
};

}  // namespace winchhall::cluster::scheduling
