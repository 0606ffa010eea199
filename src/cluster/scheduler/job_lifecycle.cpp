#include "cluster/scheduler/job_lifecycle.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "cluster/scheduler/job_validation.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// A job with more unfinished tasks than this starts no further repeat; the last started one may exceed it.
constexpr std::uint64_t kMaxUnfinishedTasks = 20000;
// Shortest timer for a repeat: the wall clock may have been set back since a timer was set.
constexpr Millis kMinRepeatTimer{20};
// Delay of a repeat while its job has too many unfinished tasks.
constexpr Millis kUnfinishedTasksBackoff{500};

// Returns the reason why the job is invalid; none if it is valid.
std::optional<std::string> find_violation(const std::string& id, const wire::JobSpec& spec) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_CHECK(validate_job(id, spec));
        return std::optional<std::string>();
      },
      [](const InvalidInput& error) { return std::optional<std::string>(error.message()); },
      [] { return std::optional<std::string>(std::string()); });
}

}  // namespace

SubmitResult JobLifecycle::submit(const std::string& id, const wire::JobSpec& spec,
                                  const wire::QueueTerms& terms) {
  if (Job* known = state_.jobs.find(id))
    return {wire::JOB_OK, known->durable ? 0 : known->last_change_batch, {}};
  if (const auto violation = find_violation(id, spec)) return {wire::JOB_INVALID, 0, *violation};
  if (state_.jobs.live() >= state_.options.max_live_jobs) return {wire::JOB_REJECTED, 0, "too many jobs"};
  ++state_.counters.jobs_accepted;
  Job& job = state_.jobs.add(id, spec, terms);
  job.accepted_at = state_.now;
  job.accepted_wall_ms = state_.wall_clock.wall_ms_at(state_.now);
  job.last_change_batch = state_.records.put(job_key(id), encode_job(job));
  state_.awaiting_durability.push_back({job.last_change_batch, id});
  return {wire::JOB_OK, job.last_change_batch, {}};
}

ChangeBatchNumber JobLifecycle::cancel(const std::string& id) {
  Job& job = *state_.jobs.find(id);
  if (!job.is_final()) finish(job, wire::JOB_CANCELED);
  return job.final_state_durable ? 0 : job.last_change_batch;
}

void JobLifecycle::restore(const RestoredJob& restored) {
  const wire::JobRecord& record = restored.record;
  Job& job = state_.jobs.add(record.id(), record.spec(), record.terms());
  job.accepted_wall_ms = record.accepted_wall_ms();
  job.accepted_at = std::min(state_.now, state_.wall_clock.steady_time_of(record.accepted_wall_ms()));
  job.durable = true;
  job.restored = true;
  if (restored.progress.state() >= wire::JOB_COMPLETED) {
    restore_ended(job, restored.progress);
  } else {
    restore_repeats(job, restored.progress);
  }
}

void JobLifecycle::restore_ended(Job& job, const wire::ProgressRecord& progress) {
  job.state = progress.state();
  job.ended_wall_ms = progress.ended_wall_ms();
  job.final_state_durable = true;
  state_.jobs.on_job_ended(job);
  // The clocks of two leaders may differ, so the end is clamped: the job is never kept for longer than the
  // full retention time.
  const TimePoint end = state_.wall_clock.steady_time_of(job.ended_wall_ms) + retention_after_end();
  state_.removals_due.emplace(std::clamp(end, state_.now, state_.now + retention_after_end()), job.id);
}

void JobLifecycle::restore_repeats(Job& job, const wire::ProgressRecord& progress) {
  const std::uint32_t started_count = count_started_repeats(progress);
  for (std::uint32_t number = 0; number < job.repeat_count(); ++number) {
    const bool done = is_repeat_done(progress, number);
    const bool started = done || number < started_count;
    if (!started && due_wall_ms(job, number) > state_.wall_clock.wall_ms_at(state_.now)) break;
    job.next_repeat = number + 1;
    if (done) {
      job.repeats[number].done = true;
      ++job.repeats_done;
    } else {
      start_repeat(job, number, &progress);
    }
    if (job.is_final()) return;
  }
  if (job.repeats_done == job.repeat_count()) return finish(job, wire::JOB_COMPLETED);
  start_due_repeats(job);
}

Millis JobLifecycle::retention_after_end() const { return state_.options.bounds.status * 3 / 2; }

void JobLifecycle::mark_progress_changed(Job& job) {
  job.last_change_batch = state_.records.mark_progress(job.id);
}

void JobLifecycle::on_changes_durable() {
  std::deque<JobAwaitingDurability>& awaiting = state_.awaiting_durability;
  while (!awaiting.empty() && state_.records.is_durable(awaiting.front().number)) {
    const JobAwaitingDurability entry = std::move(awaiting.front());
    awaiting.pop_front();
    Job* job = state_.jobs.find(entry.job);
    if (job == nullptr) continue;
    if (job->is_final()) {
      const bool end_durable = state_.records.is_durable(std::max(entry.number, job->last_change_batch));
      if (end_durable && !job->final_state_durable) on_final_state_durable(*job);
    } else if (!job->durable) {
      job->durable = true;
      start_due_repeats(*job);
    }
  }
}

// Drops the spec from the job's record, which is not allowed any earlier; see `encode_ended_job`.
void JobLifecycle::on_final_state_durable(Job& job) {
  job.final_state_durable = true;
  state_.records.put(job_key(job.id), encode_ended_job(job));
}

std::int64_t JobLifecycle::due_wall_ms(const Job& job, std::uint32_t repeat) const {
  if (job.spec.repeat_count() == 0) return job.accepted_wall_ms;
  return static_cast<std::int64_t>(job.spec.start_at_ms() + repeat * job.spec.interval_ms());
}

void JobLifecycle::start_due_repeats(Job& job) {
  bool timed = job.spec.repeat_count() > 0;
  while (job.next_repeat < job.repeat_count() && !job.is_final()) {
    std::uint32_t number = job.next_repeat;
    if (job.repeats.contains(number)) {
      ++job.next_repeat;
      continue;
    }
    TimePoint due = timed ? state_.wall_clock.steady_time_of(due_wall_ms(job, number)) : job.accepted_at;
    if (timed && due > state_.now) {
      state_.repeats_due.emplace(std::max(due, state_.now + kMinRepeatTimer), job.id);
      return;
    }
    if (job.unfinished_tasks > kMaxUnfinishedTasks) {
      state_.repeats_due.emplace(state_.now + kUnfinishedTasksBackoff, job.id);
      return;
    }
    ++job.next_repeat;
    start_repeat(job, number, nullptr);
  }
}

void JobLifecycle::start_repeat_early(Job& job, std::uint32_t repeat) {
  if (job.is_final() || repeat >= job.repeat_count() || job.repeats.contains(repeat)) return;
  start_repeat(job, repeat, nullptr);
}

void JobLifecycle::start_repeat(Job& job, std::uint32_t number, const wire::ProgressRecord* progress) {
  TimePoint due = job.accepted_at;
  if (job.spec.repeat_count() > 0)
    due = std::min(state_.now, state_.wall_clock.steady_time_of(due_wall_ms(job, number)));
  Repeat& repeat = state_.jobs.add_repeat(job, number, due);
  if (progress != nullptr) apply_progress(*progress, number, repeat);
  for (StageInstance& stage : repeat.stages) {
    stage.done_count = static_cast<std::uint32_t>(
        std::count_if(stage.tasks.begin(), stage.tasks.end(), [](const Task& task) { return task.done; }));
    if (stage.done()) ++repeat.stages_done;
    if (stage.done_count > 0 && job.state == wire::JOB_QUEUED) job.state = wire::JOB_RUNNING;
  }
  if (repeat.stages_done == repeat.stages.size()) return on_repeat_done(job, number, repeat);
  release_ready_stages(job, repeat);
}

void JobLifecycle::release_ready_stages(Job& job, Repeat& repeat) {
  for (StageInstance& stage : repeat.stages) {
    if (job.is_final()) return;
    if (stage.ready) continue;
    const auto& dependencies = stage.spec->depends_on();
    bool ready = std::all_of(dependencies.begin(), dependencies.end(),
                             [&](std::uint32_t number) { return repeat.stages[number].done(); });
    if (ready) release_stage(stage);
  }
}

void JobLifecycle::release_stage(StageInstance& stage) {
  stage.ready = true;
  for (Task& task : stage.tasks) runs_.enqueue_if_ready(stage, task);
}

void JobLifecycle::complete_task(StageInstance& stage, Task& task) {
  if (task.done || stage.job->is_final()) return;
  if (stage.spec->gang()) {
    for (Task& member : stage.tasks) mark_task_done(stage, member);
  } else {
    mark_task_done(stage, task);
  }
  mark_progress_changed(*stage.job);
  if (stage.done()) on_stage_done(stage);
}

void JobLifecycle::mark_task_done(StageInstance& stage, Task& task) {
  if (task.done) return;
  task.done = true;
  task.checkpoint = {};
  ++stage.done_count;
  runs_.dequeue(stage, task);
  if (stage.spec->gang()) return;  // the members of a done gang end by themselves
  for (Run* run : std::vector<Run*>(task.runs)) runs_.stop_run(*run);
}

void JobLifecycle::on_stage_done(StageInstance& stage) {
  Job& job = *stage.job;
  Repeat& repeat = job.repeats.at(stage.repeat);
  ++repeat.stages_done;
  if (repeat.stages_done == repeat.stages.size()) return on_repeat_done(job, stage.repeat, repeat);
  release_ready_stages(job, repeat);
}

void JobLifecycle::on_repeat_done(Job& job, std::uint32_t number, Repeat& repeat) {
  repeat.done = true;
  ++job.repeats_done;
  for (const StageInstance& stage : repeat.stages) job.unfinished_tasks -= stage.tasks.size();
  state_.done_repeats.push_back({job.id, number, 0, 0});
  if (job.repeats_done == job.repeat_count()) finish(job, wire::JOB_COMPLETED);
}

void JobLifecycle::record_failure(StageInstance& stage, Task& task, RunNumber run) {
  if (stage.job->is_final() || task.done || stage.spec->long_running()) return;
  if (std::find(task.failed_runs.begin(), task.failed_runs.end(), run) != task.failed_runs.end()) return;
  task.failed_runs.push_back(run);
  mark_progress_changed(*stage.job);
  if (count_failed_runs(stage, task) >= stage.job->max_retries()) finish(*stage.job, wire::JOB_FAILED);
}

void JobLifecycle::finish(Job& job, wire::JobState final_state) {
  job.state = final_state;
  job.ended_wall_ms = state_.wall_clock.wall_ms_at(state_.now);
  state_.jobs.on_job_ended(job);
  for (auto& [number, repeat] : job.repeats) {
    for (StageInstance& stage : repeat.stages) {
      runs_.dequeue(stage);
      for (Task& task : stage.tasks) {
        task.checkpoint = {};
        // The members of a done gang end by themselves.
        if (final_state == wire::JOB_COMPLETED && stage.spec->gang()) continue;
        for (Run* run : std::vector<Run*>(task.runs)) runs_.stop_run(*run);
      }
    }
  }
  mark_progress_changed(job);
  state_.awaiting_durability.push_back({job.last_change_batch, job.id});
  state_.removals_due.emplace(state_.now + retention_after_end(), job.id);
}

void JobLifecycle::run_timers() {
  enqueue_delayed_tasks();
  start_timed_repeats();
  drop_done_repeats();
  remove_ended_jobs();
}

void JobLifecycle::enqueue_delayed_tasks() {
  while (!state_.delayed_tasks.empty() && state_.delayed_tasks.begin()->first <= state_.now) {
    const TaskRef ref = state_.jobs.find_task(state_.delayed_tasks.begin()->second);
    state_.delayed_tasks.erase(state_.delayed_tasks.begin());
    if (ref.task != nullptr) runs_.enqueue_if_ready(*ref.stage, *ref.task);
  }
}

void JobLifecycle::start_timed_repeats() {
  while (!state_.repeats_due.empty() && state_.repeats_due.begin()->first <= state_.now) {
    Job* job = state_.jobs.find(state_.repeats_due.begin()->second);
    state_.repeats_due.erase(state_.repeats_due.begin());
    if (job != nullptr && job->durable) start_due_repeats(*job);
  }
}

void JobLifecycle::drop_done_repeats() {
  for (std::size_t left = state_.done_repeats.size(); left > 0; --left) {
    TaskName name = std::move(state_.done_repeats.front());
    state_.done_repeats.pop_front();
    Job* job = state_.jobs.find(name.job);
    if (job == nullptr) continue;
    Repeat& repeat = job->repeats.at(name.repeat);
    if (repeat.live_runs == 0) {
      repeat.stages.clear();
    } else {
      state_.done_repeats.push_back(std::move(name));
    }
  }
}

void JobLifecycle::detach_runs(const Job& job) {
  for (const auto& leaf : state_.leaves.all())
    for (auto& [key, run] : leaf->runs)
      if (run.job == &job) runs_.detach_job(run);
}

void JobLifecycle::remove_ended_jobs() {
  while (!state_.removals_due.empty() && state_.removals_due.begin()->first <= state_.now) {
    std::string id = state_.removals_due.begin()->second;
    state_.removals_due.erase(state_.removals_due.begin());
    Job* job = state_.jobs.find(id);
    if (job == nullptr) continue;
    if (!job->final_state_durable) {  // slow write: clients must be able to see the end for the full time
      state_.removals_due.emplace(state_.now + retention_after_end(), id);
      continue;
    }
    if (job->live_runs > 0) detach_runs(*job);
    state_.records.unmark_progress(id);
    state_.records.remove(job_key(id));
    state_.records.remove(progress_key(id));
    state_.jobs.erase(id);
  }
}

}  // namespace winchhall::cluster::scheduling
