// Monitors leaves and runs; stops runs that should not continue, and gives up those that are lost.
#pragma once

#include "cluster/scheduler/run_end_handler.hpp"

namespace winchhall::cluster::scheduling {

// Detects leaves whose execution lease has expired or that have deregistered, and runs that have stalled,
// that won't end before their draining leaf does, or that are their task's last attempt on a leaf that has
// become suspect.
class RunMonitor {
 public:
  RunMonitor(SchedulerState& state, RunTable& runs, RunEndHandler& ends)
      : state_(state), runs_(runs), ends_(ends) {}

  // Checks all leaves and runs, and updates `SchedulerState::ejection_enabled`. Must be called at a fixed
  // interval.
  void check();

 private:
  // Disables ejection while many leaves qualify for it, since the cause of so many failures is then probably
  // not the leaves.
  void update_ejection_enabled();
  void check_leaf(Leaf& leaf);
  void check_runs(Leaf& leaf);
  // True if the run has made no progress for longer than allowed.
  bool is_stalled(const Run& run) const;
  // True if the draining leaf will end before the run does, and the run should be moved now because it is
  // long-running, or because it checkpoints and so loses little work.
  bool must_evacuate(const Leaf& leaf, const Run& run) const;
  // True if the leaf has become suspect since the run was ordered, and one more failure of the task would end
  // its job.
  bool must_protect_last_attempt(const Leaf& leaf, const Run& run) const;

  SchedulerState& state_;
  RunTable& runs_;
  RunEndHandler& ends_;
  // True once a run has reported a percentage between 0 and 100, which shows that leaves report progress.
  // Until then, a percentage that doesn't change does not mean that a run has stalled.
  bool progress_seen_ = false;
};

}  // namespace winchhall::cluster::scheduling
