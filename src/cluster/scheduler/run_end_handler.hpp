// Applies the ends of runs and the loss of leaves to tasks and jobs.
#pragma once

#include <string>

#include "cluster/scheduler/job_lifecycle.hpp"

namespace winchhall::cluster::scheduling {

// A run ends for its task in one of three ways: the leaf lists its end; the leaf's lists show that the run
// isn't there; or the leaf's execution lease has expired, so that the run has ended although no end was
// reported. In each case the task is enqueued again unless it is done or has no attempt left.
class RunEndHandler {
 public:
  RunEndHandler(SchedulerState& state, RunTable& runs, JobLifecycle& jobs)
      : state_(state), runs_(runs), jobs_(jobs) {}

  // Applies an end that the leaf lists for the first time. Returns the batch of changes that must be durable
  // before the end is acknowledged to the leaf; 0: none.
  ChangeBatchNumber on_end_reported(Leaf& leaf, const wire::FinishedTask& entry);
  // Handles a run that certainly isn't on its leaf and never will be. Destroys `run`.
  void on_run_lost(Run& run, RunLossReason reason);
  // Handles the expiry of the leaf's execution lease, with which all its runs have ended. Delivered runs are
  // detached from their tasks, but kept with their resources allocated until the leaf's reports show that
  // they have ended or its incarnation ends.
  void on_lease_expired(Leaf& leaf);
  // Handles the end of the leaf's process, with which all its runs have ended. Destroys `leaf`.
  void on_incarnation_ended(Leaf& leaf);

  // Orders all runs of a gang's members that have this number to stop.
  void stop_gang_run(StageInstance& stage, RunNumber number);
  // Stops gangs of restored jobs that run with only some of their members. Must be called once no leaf is
  // left that may still report the others.
  void stop_partial_gangs();

 private:
  void record_loss(const Run& run, RunLossReason reason);
  void apply_end(const TaskRef& ref, const wire::FinishedTask& entry, TimePoint started);
  void update_checkpoint(const TaskRef& ref, const std::string& text, RunNumber run);
  void update_leaf_health(Leaf& leaf, const TaskRef& ref, wire::EndKind how, TimePoint started);
  void apply_restart_backoff(Task& task, TimePoint started);
  void stop_if_partial(StageInstance& stage);
  // Writes the progress record of the run's job if the run's task has a checkpoint. Needed only when the leaf
  // is lost: a checkpoint reported by a running task isn't written, since the leaf reports the newest one to
  // any later leader.
  void write_checkpoint(const Run& run);
  void remove_leaf_record(Leaf& leaf);

  SchedulerState& state_;
  RunTable& runs_;
  JobLifecycle& jobs_;
};

}  // namespace winchhall::cluster::scheduling
