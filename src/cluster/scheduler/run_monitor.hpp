// Looks after what runs: tasks that stand still, tasks that take too long, leaves that leave or fall silent.
#pragma once

#include "cluster/scheduler/run_end_handler.hpp"

namespace winchhall::cluster::scheduling {

class RunMonitor {
 public:
  RunMonitor(SchedulerState& state, RunTable& ledger, RunEndHandler& ends)
      : state_(state), ledger_(ledger), ends_(ends) {}

  // To be called with every plan; does its work at its own pace.
  void look();

 private:
  void look_at_leaves();
  void look_at_runs(Leaf& leaf);
  bool is_stalled(const Run& run) const;
  // True if the leaf has turned out to fail what it starts and the task's job would end by one more failure.
  bool must_be_spared(const Leaf& leaf, const Run& run) const;
  bool must_move(const Leaf& leaf, const Run& run) const;
  void copy_slow_runs();
  void copy_slow(StageInstance& stage);

  SchedulerState& state_;
  RunTable& ledger_;
  RunEndHandler& ends_;
  TimePoint next_look_;
  bool percent_told_ = false;  // some run has told a percentage between 0 and 100
};

}  // namespace winchhall::cluster::scheduling
