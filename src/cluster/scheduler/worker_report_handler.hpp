// Handles the reports of worker-agents about the leaves on their nodes.
#pragma once

#include "cluster/scheduler/run_end_handler.hpp"

namespace winchhall::cluster::scheduling {

// Reconciles this leader's state of a leaf with the leaf's reports. Reports may be lost, duplicated, delayed
// and reordered, also across restarts of leaves and worker-agents. The lists of a report are exact: every
// order up to its `orders_settled` is either reflected in them or was not carried out.
class WorkerReportHandler {
 public:
  WorkerReportHandler(SchedulerState& state, RunTable& runs, JobLifecycle& jobs, RunEndHandler& ends)
      : state_(state), runs_(runs), jobs_(jobs), ends_(ends) {}

  // Applies a report. A report that is outdated, or about a leaf of another service, has no effect. The first
  // one of a worker-agent process only causes an answer that the process has to confirm, as the process may
  // have ended since.
  void handle(const wire::WorkerReport& report);
  // Must be called when more batches are durable: acknowledges the ends whose effects they contain.
  void on_changes_durable();

 private:
  // See WorkerSessionTracker. The answers to an unconfirmed report challenge its session, the first one at
  // once.
  ReportStatus classify(const wire::WorkerReport& report);
  // `leaf`: the leaf that the report is about; null: it isn't registered.
  void request_confirmation(const wire::WorkerReport& report, Leaf* leaf);
  void end_previous_incarnation(const wire::WorkerReport& report);
  // The leaf that the report is about; null if the report must be ignored. Registers a leaf that is new, and
  // ends earlier incarnations on its node.
  Leaf* resolve_leaf(const wire::WorkerReport& report);
  void update_leaf(Leaf& leaf, const wire::WorkerReport& report);
  void update_revisions(Leaf& leaf, const wire::WorkerReport& report);
  // Orders those runs to stop that the draining leaf hasn't reported as running.
  void cancel_unconfirmed_starts(Leaf& leaf);
  // Writes the leaf's record, which must be durable before the first order: the next leader has to know on
  // which leaves runs may exist.
  void write_leaf_record(Leaf& leaf);
  // Returns false if the report refers to lists that this leader doesn't have.
  bool store_task_lists(Leaf& leaf, const wire::WorkerReport& report);

  // Updates `leaf.runs` and the pending orders to agree with `leaf.task_lists`.
  void reconcile(Leaf& leaf);
  // Must be called once the leaf's complete lists are reconciled.
  void mark_synchronized(Leaf& leaf);
  void process_ends(Leaf& leaf);
  void process_running(Leaf& leaf, const wire::RunningTask& entry);
  // Adds a run that the leaf lists and this leader didn't order.
  Run& adopt_run(Leaf& leaf, const wire::RunningTask& entry);
  void remove_missing_runs(Leaf& leaf);
  void drop_applied_orders(Leaf& leaf);
  void acknowledge_durable_ends(Leaf& leaf);

  SchedulerState& state_;
  RunTable& runs_;
  JobLifecycle& jobs_;
  RunEndHandler& ends_;
};

}  // namespace winchhall::cluster::scheduling
