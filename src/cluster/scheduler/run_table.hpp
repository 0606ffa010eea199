// Book of the runs that may exist: what they hold on their leaves, and which tasks may be placed again.
#pragma once

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

class RunTable {
 public:
  explicit RunTable(SchedulerState& state) : state_(state) {}

  // Orders a run of a waiting task. `cost`: estimated ms there.
  Run& start(StageInstance& stage, Task& task, Leaf& leaf, RunNumber number, double cost);
  // Enters a run that the leaf lists and this leader did not order. It counts for the task where that may be.
  Run& adopt(Leaf& leaf, const wire::RunningTask& entry, const TaskRef& place);
  // Orders the stop of a run. A start that was never handed out is taken back at once: `run` is gone then.
  void stop(Run& run);
  // The run is over: frees what it held. `run` is gone then.
  void remove(Run& run);
  // The task no longer counts on the run, which still holds its room.
  void detach(Run& run);
  // Forgets which job a run belongs to; it still holds its room.
  void detach_job(Run& run);
  // Lets a task be placed if it may be now; does nothing otherwise.
  void offer(StageInstance& stage, Task& task);
  // Takes a task or all of a stage off the queue.
  void withdraw(StageInstance& stage, Task& task);
  void withdraw(StageInstance& stage);
  // Number of the next run of a task, or of all of a gang.
  RunNumber next_run_number(const StageInstance& stage, const Task& task) const;

 private:
  Run& insert(Leaf& leaf, const std::string& name, RunNumber number);
  void reserve(Run& run);
  void release(const Run& run);
  void attach(Run& run, const TaskRef& place);
  bool may_attach(const Run& run, const TaskRef& place) const;

  SchedulerState& state_;
};

}  // namespace winchhall::cluster::scheduling
