// What the end of a run means for its task, and what is known to be over without an end having been listed.
#pragma once

#include "cluster/scheduler/job_lifecycle.hpp"

namespace winchhall::cluster::scheduling {

class RunEndHandler {
 public:
  RunEndHandler(SchedulerState& state, RunTable& ledger, JobLifecycle& jobs)
      : state_(state), ledger_(ledger), jobs_(jobs) {}

  // An end that the leaf lists for the first time. Returns the changes that must be durable before it is
  // noted.
  ChangeBatchNumber listed(Leaf& leaf, const wire::FinishedTask& entry);
  // The run is certainly not on its leaf and never will be. `run` is gone then.
  void on_run_lost(Run& run);
  // The leaf's hold has run out: nothing runs there, although it may say so only later.
  void on_lease_expired(Leaf& leaf);
  // This life of the leaf is over. `leaf` is gone then.
  void on_incarnation_ended(Leaf& leaf);
  // Orders the stop of all members of a gang's run.
  void stop_gang_run(StageInstance& stage, RunNumber run);
  // Stops gangs of which only some members run; called once all leaves of earlier leaders have been heard.
  void stop_partial_gangs();

 private:
  void save(const TaskRef& place, const std::string& saved, RunNumber run);
  void update_leaf_health(Leaf& leaf, const TaskRef& place, wire::EndKind how, TimePoint began);
  void apply(const TaskRef& place, const wire::FinishedTask& entry, TimePoint began);
  void hold_back(Task& task, TimePoint began);
  void forget_record(Leaf& leaf);

  SchedulerState& state_;
  RunTable& ledger_;
  JobLifecycle& jobs_;
};

}  // namespace winchhall::cluster::scheduling
