// What the end of a run means for its task, and what is known to be over without an end having been listed.
#pragma once

#include "cluster/scheduler/job_lifecycle.hpp"

namespace winchhall::cluster::scheduling {

class TaskEnds {
 public:
  TaskEnds(SchedulerState& state, RunLedger& ledger, JobLifecycle& jobs)
      : state_(state), ledger_(ledger), jobs_(jobs) {}

  // An end that the leaf lists for the first time. Returns the changes that must be durable before it is
  // noted.
  ChangeNumber listed(Leaf& leaf, const wire::FinishedTask& entry);
  // The run is certainly not on its leaf and never will be. `run` is gone then.
  void not_there(Run& run);
  // The leaf's hold has run out: nothing runs there, although it may say so only later.
  void hold_over(Leaf& leaf);
  // This life of the leaf is over. `leaf` is gone then.
  void life_over(Leaf& leaf);
  // Orders the stop of all members of a gang's run.
  void break_gang(StageInstance& stage, RunNumber run);
  // Stops gangs of which only some members run; called once all leaves of earlier leaders have been heard.
  void break_torn_gangs();

 private:
  void save(const TaskPlace& place, const std::string& saved, RunNumber run);
  void judge_leaf(Leaf& leaf, const TaskPlace& place, wire::EndKind how, TimePoint began);
  void apply(const TaskPlace& place, const wire::FinishedTask& entry, TimePoint began);
  void hold_back(Task& task, TimePoint began);
  void forget_record(Leaf& leaf);

  SchedulerState& state_;
  RunLedger& ledger_;
  JobLifecycle& jobs_;
};

}  // namespace winchhall::cluster::scheduling
