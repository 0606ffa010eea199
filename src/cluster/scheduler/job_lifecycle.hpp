// The course of jobs: taken in, opened repeat by repeat and stage by stage, ended, removed.
#pragma once

#include "cluster/scheduler/record_codec.hpp"
#include "cluster/scheduler/run_table.hpp"

namespace winchhall::cluster::scheduling {

class JobLifecycle {
 public:
  JobLifecycle(SchedulerState& state, RunTable& ledger) : state_(state), ledger_(ledger) {}

  SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms);
  CancelResult cancel(const std::string& id);
  void restore(const RestoredJob& restored);
  // Makes jobs whose changes are durable go on.
  void on_changes_durable();
  // Does what has become due: repeats, tasks held back, removal of jobs that ended long ago.
  void run_timers();

  // Opens a repeat that is known to have begun, although its time may not have come by this machine's clock.
  void open_early(Job& job, std::uint32_t repeat);
  // The task has ended `done`; of a gang, so have all.
  void complete(StageInstance& stage, Task& task);
  // The task has ended `failed` once more.
  void record_failure(StageInstance& stage, Task& task, RunNumber run);
  // The job's progress must become durable.
  void mark_progress_changed(Job& job);
  void note_shown(Job& job);

 private:
  std::int64_t due_wall_ms(const Job& job, std::uint32_t repeat) const;
  void open_due(Job& job);
  void open_repeat(Job& job, std::uint32_t number, const wire::ProgressRecord* progress);
  void open_stages(Job& job, Repeat& repeat);
  void open_stage(StageInstance& stage);
  void complete_one(StageInstance& stage, Task& task);
  void stage_done(StageInstance& stage);
  void repeat_done(Job& job, std::uint32_t number, Repeat& repeat);
  void finish(Job& job, wire::JobState final_state);
  void remove_ended();
  void detach_runs(const Job& job);
  void clear_done_repeats();
  Millis retention_after_end() const;

  SchedulerState& state_;
  RunTable& ledger_;
};

}  // namespace winchhall::cluster::scheduling
