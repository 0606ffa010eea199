// Handles the reports of worker-agents about the leaves beside them.
#pragma once

#include "cluster/scheduler/run_end_handler.hpp"

namespace winchhall::cluster::scheduling {

// Reconciles this leader's view of a leaf with what the leaf reports. Reports may be lost, doubled, late and
// out of order, also across restarts of leaves and worker-agents. The lists of a report are exact: each order
// up to its `orders_settled` is either visible in them or was not carried out.
class WorkerReportHandler {
 public:
  WorkerReportHandler(SchedulerState& state, RunTable& runs, JobLifecycle& jobs, RunEndHandler& ends)
      : state_(state), runs_(runs), jobs_(jobs), ends_(ends) {}

  // Applies a report. One that is outdated, or of a leaf of another service, has no effect.
  void handle(const wire::WorkerReport& report);
  // More batches are durable: ends whose effects they contain may be acknowledged from now on.
  void on_changes_durable();

 private:
  void end_previous_incarnation(const wire::WorkerReport& report);
  // The leaf that the report is about; registered, and earlier incarnations on its node ended, if need be.
  // Null if the report must be ignored.
  Leaf* resolve_leaf(const wire::WorkerReport& report);
  // True if the report's process is known to be alive now. Otherwise the report may be a late one of a
  // process that has ended, and must not end an incarnation of a leaf.
  bool is_from_live_session(const wire::WorkerReport& report, const Leaf& leaf) const;
  void update_leaf(Leaf& leaf, const wire::WorkerReport& report);
  void update_revisions(Leaf& leaf, const wire::WorkerReport& report);
  // Orders runs to stop that the draining leaf hasn't reported as running.
  void cancel_unconfirmed_starts(Leaf& leaf);
  // The record must be durable before the first order: the next leader has to know where runs may exist.
  void write_leaf_record(Leaf& leaf);
  // Returns false if the report refers to lists that this leader doesn't have.
  bool store_task_lists(Leaf& leaf, const wire::WorkerReport& report);

  // Brings `leaf.runs` and the orders in line with `leaf.task_lists`.
  void reconcile(Leaf& leaf);
  void process_ends(Leaf& leaf);
  void process_running(Leaf& leaf, const wire::RunningTask& entry);
  // The run of a listed task that this leader didn't order.
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
