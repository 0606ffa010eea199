// The runs that may exist on leaves: their accounting and orders, and the queueing of tasks that need a run.
#pragma once

#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// A run that a leaf lists, as running or as ended.
struct ReportedRun {
  const Leaf& leaf;
  const std::string& task;  // name
  RunNumber number = 0;
  bool ended = false;
};

// The only component that adds or removes runs. With every run it updates the leaf's allocated resources and
// load, the counts of live runs of stage, repeat and job, the task's `runs`, the orders to the leaf that are
// not applied yet, and the queue.
//
// Invariants:
// - a run occupies its resources on its leaf until `remove`, even after it was detached from its task;
// - a run of a task that isn't done stays attached to the task until it is certain that the run has ended. A
//   task with a run attached isn't in the queue, so that no run starts while another one may exist;
// - of the runs attached to a task, all except the newest are ordered to stop (all except the two newest, if
//   the task is speculative); of the runs attached to a gang's members, all with a lower number than the
//   newest.
class RunTable {
 public:
  explicit RunTable(SchedulerState& state) : state_(state) {}

  // Orders a run of a task on a leaf. `number` is the result of `next_run_number` and the same for all
  // members of a gang; `cost_ms` is the estimated duration on that leaf. The reference stays valid until
  // `remove`.
  Run& start_run(StageInstance& stage, Task& task, Leaf& leaf, RunNumber number, double cost_ms);
  // Adds a run that the leaf reports and that this leader did not order. Attaches it to its task, or orders
  // it to stop if the task is done or unknown. If the task then has too many runs, the earliest are ordered
  // to stop, which may include this one.
  Run& adopt_reported_run(Leaf& leaf, const wire::RunningTask& entry, const TaskRef& ref);
  // Records a run that this leader did not expect for the log, if it has ordered another run of the task or
  // doesn't know the job. See UnexpectedRun.
  void record_if_unexpected(const ReportedRun& reported, const TaskRef& ref);
  // Orders a run to stop. No effect if it has already been ordered to. If the start order was never
  // delivered, it is withdrawn instead: `run` is destroyed, and its task may be enqueued again.
  void stop_run(Run& run);
  // Removes a run that has ended or certainly isn't on its leaf: releases its resources, detaches and
  // destroys it.
  void remove(Run& run);
  // Detaches a run from its task, which may then start another one. The run still occupies its resources.
  void detach_task(Run& run);
  // Detaches a run from its task, stage and job, because one of them is about to be erased. The run still
  // occupies its resources.
  void detach_job(Run& run);

  // Enqueues a task if it may be placed, at once or at the end of its backoff. No effect if the task isn't
  // ready, is done, has a run or has no attempt left, or if its job has ended or isn't durable.
  void enqueue_if_ready(StageInstance& stage, Task& task);
  // Removes a task from the queue. For a gang, removes the whole stage, since its members are placed together
  // or not at all.
  void dequeue(StageInstance& stage, Task& task);
  // Removes all tasks of a stage from the queue.
  void dequeue(StageInstance& stage);

  // The highest number of the runs attached to a gang's members; 0: none is attached.
  static RunNumber newest_gang_run(const StageInstance& stage);
  // The number for the next run of a task or of a gang; higher than all numbers that it was assigned before.
  RunNumber next_run_number(const StageInstance& stage, const Task& task) const;

 private:
  Run& insert(Leaf& leaf, const std::string& name, RunNumber number);
  void allocate(Run& run);
  void release(const Run& run);
  void attach_task(Run& run, const TaskRef& ref);
  // If the task or its gang has more runs than it may have, orders the earliest to stop.
  void stop_surplus_runs(const TaskRef& ref);
  static std::vector<Run*> find_surplus_runs(const TaskRef& ref);
  static std::vector<Run*> find_earlier_gang_runs(const StageInstance& stage);

  SchedulerState& state_;
};

}  // namespace winchhall::cluster::scheduling
