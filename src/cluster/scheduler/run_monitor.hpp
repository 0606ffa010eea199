// Watches leaves and running tasks, and stops or gives up runs that don't do well.
#pragma once

#include "cluster/scheduler/run_end_handler.hpp"

namespace winchhall::cluster::scheduling {

// Detects leaves whose execution lease has expired or that have left, and runs that stall, that won't end
// before their draining leaf leaves, or that risk their task's last attempt on a leaf that has become
// suspect.
class RunMonitor {
 public:
  RunMonitor(SchedulerState& state, RunTable& runs, RunEndHandler& ends)
      : state_(state), runs_(runs), ends_(ends) {}

  // Checks all leaves and runs; also updates `SchedulerState::ejection_enabled`. To be called at a fixed
  // interval.
  void check();

 private:
  // When many leaves look as if they failed what they run, the cause is likely elsewhere: then none is
  // ejected.
  void update_ejection_enabled();
  void check_leaf(Leaf& leaf);
  void check_runs(Leaf& leaf);
  // True if the run has made no progress for long.
  bool is_stalled(const Run& run) const;
  // True if the draining leaf will leave before the run ends, and the run is better moved now: it is
  // long-running, or checkpoints and loses little.
  bool must_evacuate(const Leaf& leaf, const Run& run) const;
  // True if the leaf has become suspect since the run was ordered, and one more failure ends the task's job.
  bool must_protect_last_attempt(const Leaf& leaf, const Run& run) const;

  SchedulerState& state_;
  RunTable& runs_;
  RunEndHandler& ends_;
  // Some run has reported a percentage between 0 and 100: leaves do report progress. Otherwise a percentage
  // that doesn't change says nothing.
  bool progress_seen_ = false;
};

}  // namespace winchhall::cluster::scheduling
