// The lifecycle of jobs: submission, timed repeats, dependent stages, end and removal.
#pragma once

#include <optional>
#include <string>

#include "cluster/scheduler/record_codec.hpp"
#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

// Changes the states of jobs, repeats, stages and tasks, and writes their records. A job's state becomes
// final exactly once. Its tasks start only once its record is durable, and clients see its final state only
// once that state is durable. The job and its records are removed when its retention time has passed.
class JobLifecycle {
 public:
  JobLifecycle(SchedulerState& state, RunTable& runs) : state_(state), runs_(runs) {}

  // See Scheduler.
  SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms);
  // The job must be known. Returns the batch after which its final state is durable, 0 if it is already.
  ChangeBatchNumber cancel(const std::string& id);
  // Adds a job from an earlier leader's records, with the repeats that have started or are due.
  void restore(const RestoredJob& restored);
  // Must be called when more batches are durable: starts jobs whose records are now durable, and makes final
  // states visible that are now durable.
  void on_changes_durable();
  // Performs the timed work that is due: enqueues tasks at the end of their backoff, starts repeats, drops
  // the stages of done repeats and removes ended jobs.
  void run_timers();

  // Starts a repeat of which a leaf has reported a run or an end. An earlier leader must have started it,
  // although it may not be due by this machine's clock. No effect if the job has ended or has already started
  // the repeat.
  void start_repeat_early(Job& job, std::uint32_t repeat);
  // Marks the task as done, after a run of it has ended END_DONE, and stops its other runs. In a gang, all
  // members are done as soon as one is, and their runs end by themselves.
  void complete_task(StageInstance& stage, Task& task);
  // Records that a run of the task has ended END_FAILED; counts each run once. The job fails if that was the
  // task's last attempt.
  void record_failure(StageInstance& stage, Task& task, RunNumber run);
  // Schedules the writing of the job's progress record.
  void mark_progress_changed(Job& job);

 private:
  // Wall-clock time at which a repeat is due, in milliseconds since 1970.
  std::int64_t due_wall_ms(const Job& job, std::uint32_t repeat) const;
  void restore_ended(Job& job, const wire::ProgressRecord& progress);
  void restore_repeats(Job& job, const wire::ProgressRecord& progress);
  // Starts the repeats that are due by the timetable, and sets a timer for the next one.
  void start_due_repeats(Job& job);
  // `progress` is the record of an earlier leader; null: no task of the repeat is done yet.
  void start_repeat(Job& job, std::uint32_t number, const wire::ProgressRecord* progress);
  // Makes stages ready whose dependencies are done, and enqueues their tasks.
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
