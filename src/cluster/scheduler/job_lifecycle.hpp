// The lifecycle of jobs: submission, repeats by timetable, stages by dependency, end, removal.
#pragma once

#include <optional>
#include <string>

#include "cluster/scheduler/record_codec.hpp"
#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// Changes the states of jobs, repeats, stages and tasks, and writes their records. A job's state becomes
// final exactly once. Its tasks start only once its record is durable, and its final state is shown only once
// that is durable. It is removed, with its records, when its retention time is over.
class JobLifecycle {
 public:
  JobLifecycle(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // See Scheduler.
  SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms);
  CancelResult cancel(const std::string& id);
  // Adds a job from an earlier leader's records, with the repeats that have started or are due.
  void restore(const RestoredJob& restored);
  // More batches are durable: starts jobs whose records are, and shows final states that are.
  void on_changes_durable();
  // Does what has fallen due: tasks at the end of their backoff, repeats, removal of ended jobs.
  void run_timers();

  // Starts a repeat that a leaf reports a run or end of, and that has therefore begun under an earlier
  // leader, although it may not be due by this machine's clock. No effect if the job has ended or has started
  // it.
  void start_repeat_early(Job& job, std::uint32_t repeat);
  // A run of the task has ended END_DONE; of a gang, that completes all members. Stops other runs of the
  // task.
  void complete_task(StageInstance& stage, Task& task);
  // A run of the task has ended END_FAILED; counts each run once. Ends the job if that was the last attempt.
  void record_failure(StageInstance& stage, Task& task, RunNumber run);
  // Schedules the writing of the job's progress record.
  void mark_progress_changed(Job& job);

 private:
  // When a repeat is due, in milliseconds since 1970.
  std::int64_t due_wall_ms(const Job& job, std::uint32_t repeat) const;
  void restore_ended(Job& job, const wire::ProgressRecord& progress);
  void restore_repeats(Job& job, const wire::ProgressRecord& progress);
  // Starts what is due by the timetable, and sets a timer for the next repeat.
  void start_due_repeats(Job& job);
  // `progress`: of an earlier leader; null: nothing is done yet.
  void start_repeat(Job& job, std::uint32_t number, const wire::ProgressRecord* progress);
  // Enqueues the tasks of stages whose dependencies are done.
  void release_ready_stages(Job& job, Repeat& repeat);
  void release_stage(StageInstance& stage);
  void mark_task_done(StageInstance& stage, Task& task);
  void on_stage_done(StageInstance& stage);
  void on_repeat_done(Job& job, std::uint32_t number, Repeat& repeat);
  // Ends the job: dequeues its tasks and stops its runs.
  void finish(Job& job, wire::JobState final_state);
  void on_final_state_durable(Job& job);

  void enqueue_delayed_tasks();
  void start_timed_repeats();
  // Drops the stages of done repeats that have no live runs any more.
  void drop_done_repeats();
  void remove_ended_jobs();
  void detach_runs(const Job& job);
  Millis retention_after_end() const;

  SchedulerState& state_;
  RunTable& runs_;
};

}  // namespace winchhall::cluster::scheduling
