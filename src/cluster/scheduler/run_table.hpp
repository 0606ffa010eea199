// The runs that may exist on leaves: their accounting, their orders, and which tasks wait for a run.
#pragma once

#include <vector>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// The only component that adds or removes runs. For every run it keeps in step: the leaf's allocated
// resources and load, the counts of live runs of stage, repeat and job, the task's `runs`, the orders to the
// leaf that are not applied yet, and the queue.
//
// Invariants:
// - a run occupies its resources on its leaf until `remove`, however it has ended for its task;
// - a run of a task that isn't done is attached to it until it is certain that the run is over, and a task
//   with a run attached isn't in the queue: so no run starts beside another one that may exist;
// - of the runs attached to a task, all but the newest (the two newest, if it is speculative) are ordered to
//   stop; of those attached to a gang's members, all of an earlier number than the newest.
class RunTable {
 public:
  explicit RunTable(SchedulerState& state) : state_(state) {}

  // Orders a run of a task on a leaf. `number`: from `next_run_number`, for a gang the same for all members.
  // `cost_ms`: estimated duration on that leaf. The result stays valid until `remove`.
  Run& start_run(StageInstance& stage, Task& task, Leaf& leaf, RunNumber number, double cost_ms);
  // Inserts a run that the leaf reports and that this leader did not order. It is attached to its task unless
  // that is done or unknown; it, or earlier runs of the task, are ordered to stop where there are too many.
  Run& adopt_reported_run(Leaf& leaf, const wire::RunningTask& entry, const TaskRef& ref);
  // Orders a run to stop; no effect if that is ordered already. A start order that was never delivered is
  // withdrawn instead: then `run` is destroyed and its task may be enqueued again.
  void stop_run(Run& run);
  // The run has ended or is certainly not on its leaf: releases its resources, detaches it and destroys it.
  void remove(Run& run);
  // The task no longer counts on the run, which goes on occupying its resources.
  void detach_task(Run& run);
  // Detaches a run from its task, stage and job, of which one is about to be erased; it goes on occupying its
  // resources.
  void detach_job(Run& run);

  // Enqueues a task if it may be placed now, or at the end of its backoff if that alone keeps it; no effect
  // if it isn't ready, is done, has a run, has no attempt left, or its job has ended or isn't durable.
  void enqueue_if_ready(StageInstance& stage, Task& task);
  // Takes a task off the queue. Of a gang, takes the stage off: members are placed together or not at all.
  void dequeue(StageInstance& stage, Task& task);
  // Takes all tasks of a stage off the queue.
  void dequeue(StageInstance& stage);

  // The highest number of the runs attached to a gang's members; 0: none is attached.
  static RunNumber newest_gang_run(const StageInstance& stage);
  // The number for the next run of a task, or of a gang; above all numbers given to it before.
  RunNumber next_run_number(const StageInstance& stage, const Task& task) const;

 private:
  Run& insert(Leaf& leaf, const std::string& name, RunNumber number);
  void allocate(Run& run);
  void release(const Run& run);
  void attach_task(Run& run, const TaskRef& ref);
  // Orders the runs of the task, or of its gang, to stop that are too many, the earliest first.
  void stop_surplus_runs(const TaskRef& ref);
  static std::vector<Run*> find_surplus_runs(const TaskRef& ref);
  static std::vector<Run*> find_earlier_gang_runs(const StageInstance& stage);

  SchedulerState& state_;
};

}  // namespace winchhall::cluster::scheduling
