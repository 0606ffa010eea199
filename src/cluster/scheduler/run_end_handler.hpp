// Applies the ends of runs, and the loss of whole leaves, to tasks and jobs.
#pragma once

#include <string>

#include "cluster/scheduler/job_lifecycle.hpp"

namespace winchhall::cluster::scheduling {

// A run ends for its task in one of three ways: the leaf lists its end; the leaf's lists show that it isn't
// there; or its execution lease has expired, so that it has ended without anyone having seen it. In each case
// the task is enqueued again unless it is done or out of attempts.
class RunEndHandler {
 public:
  RunEndHandler(SchedulerState& state, RunTable& runs, JobLifecycle& jobs)
      : state_(state), runs_(runs), jobs_(jobs) {}

  // Applies an end that the leaf lists for the first time. Returns the batch of changes that must be durable
  // before the end is acknowledged to the leaf; 0: none.
  ChangeBatchNumber on_end_reported(Leaf& leaf, const wire::FinishedTask& entry);
  // The run is certainly not on its leaf and never will be. Destroys `run`.
  void on_run_lost(Run& run);
  // The leaf's execution lease has expired: nothing runs there any more. Delivered runs are kept, with
  // their resources allocated, until the leaf's reports show that they have ended or its incarnation ends,
  // but their tasks no longer count on them.
  void on_lease_expired(Leaf& leaf);
  // The leaf's process has ended, and with it all runs. Destroys `leaf`.
  void on_incarnation_ended(Leaf& leaf);

  // Orders all members of one run of a gang to stop.
  void stop_gang_run(StageInstance& stage, RunNumber number);
  // Stops the gangs of restored jobs of which only some members run. To be called once no leaf is left that
  // may still report the others.
  void stop_partial_gangs();

 private:
  void apply_end(const TaskRef& ref, const wire::FinishedTask& entry, TimePoint started);
  void update_checkpoint(const TaskRef& ref, const std::string& text, RunNumber run);
  void update_leaf_health(Leaf& leaf, const TaskRef& ref, wire::EndKind how, TimePoint started);
  void apply_restart_backoff(Task& task, TimePoint started);
  void stop_if_partial(StageInstance& stage);
  // Writes the progress of the run's task if it has a checkpoint. Checkpoints that running tasks report
  // aren't written one by one: while the leaf is there, it reports the newest to any later leader.
  void write_checkpoint(const Run& run);
  void remove_leaf_record(Leaf& leaf);

  SchedulerState& state_;
  RunTable& runs_;
  JobLifecycle& jobs_;
};

}  // namespace winchhall::cluster::scheduling
