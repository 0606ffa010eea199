// Takes in what worker-agents report of their leaves.
#pragma once

#include "cluster/scheduler/run_end_handler.hpp"

namespace winchhall::cluster::scheduling {

class WorkerReportHandler {
 public:
  WorkerReportHandler(SchedulerState& state, RunTable& ledger, JobLifecycle& jobs, RunEndHandler& ends)
      : state_(state), ledger_(ledger), jobs_(jobs), ends_(ends) {}

  void take(const wire::WorkerReport& report);
  // Ends whose effects are durable may be noted from now on.
  void on_changes_durable();

 private:
  // The leaf that the report is about; null: the report says nothing of a leaf that counts.
  Leaf* leaf_of(const wire::WorkerReport& report);
  void end_previous_life(const wire::WorkerReport& report);
  // False: the report may be a late one of a process that is over, so that it ends no other life of a leaf.
  bool is_current(const wire::WorkerReport& report, const Leaf& leaf) const;
  void describe(Leaf& leaf, const wire::WorkerReport& report);
  void withdraw_undelivered(Leaf& leaf);
  void write_record(Leaf& leaf);
  // False: the lists that the report refers to are not here.
  bool store_lists(Leaf& leaf, const wire::WorkerReport& report);
  void take_lists(Leaf& leaf);
  void take_running(Leaf& leaf, const wire::RunningTask& entry);
  void take_ends(Leaf& leaf);
  void take_out_missing(Leaf& leaf);
  void settle_orders(Leaf& leaf);
  void note_ends(Leaf& leaf);

  SchedulerState& state_;
  RunTable& ledger_;
  JobLifecycle& jobs_;
  RunEndHandler& ends_;
};

}  // namespace winchhall::cluster::scheduling
