// The course of jobs: taken in, opened repeat by repeat and stage by stage, ended, removed.
#include "cluster/scheduler/job_lifecycle.hpp"

#include <algorithm>

#include "cluster/scheduler/job_validation.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::uint32_t kMostLiveJobs = 20000;
constexpr std::uint64_t kMostOpenTasks = 20000;  // of one job, unless one repeat alone has more
constexpr Millis kLookAgain{20};                 // at a repeat whose time has not come after all
constexpr Millis kHeldBack{500};                 // a repeat of a job that has too many tasks open

}  // namespace

SubmitResult JobLifecycle::submit(const std::string& id, const wire::JobSpec& spec,
                                  const wire::QueueTerms& terms) {
  if (Job* known = state_.jobs.find(id)) return {wire::JOB_OK, known->durable ? 0 : known->last_change, {}};
  std::string reason;
  bool valid = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(validate_job(id, spec));
        return true;
      },
      [&](const InvalidInput& error) {
        reason = error.message();
        return false;
      },
      [] { return false; });
  if (!valid) return {wire::JOB_INVALID, 0, reason};
  if (state_.jobs.live() >= kMostLiveJobs) return {wire::JOB_REJECTED, 0, "too many jobs"};
  ++state_.counters.jobs_accepted;
  Job& job = state_.jobs.add(id, spec, terms);
  job.accepted_at = state_.now;
  job.accepted_wall_ms = state_.wall.at(state_.now);
  job.last_change = state_.records.put(RecordWriteBuffer::job_key(id), encode_job(job));
  state_.awaiting.push_back({job.last_change, id});
  return {wire::JOB_OK, job.last_change, {}};
}

CancelResult JobLifecycle::cancel(const std::string& id) {
  Job* job = state_.jobs.find(id);
  if (job == nullptr) return {};
  if (!job->final()) finish(*job, wire::JOB_CANCELED);
  return {true, job->shown ? 0 : job->last_change};
}

void JobLifecycle::restore(const RestoredJob& restored) {
  const wire::JobRecord& record = restored.record;
  Job& job = state_.jobs.add(record.id(), record.spec(), record.terms());
  job.accepted_wall_ms = record.accepted_wall_ms();
  job.accepted_at = std::min(state_.now, state_.wall.when(record.accepted_wall_ms()));
  job.durable = true;
  job.restored = true;
  if (restored.progress.state() >= wire::JOB_COMPLETED) {
    job.state = restored.progress.state();
    job.ended_wall_ms = restored.progress.ended_wall_ms();
    job.shown = true;
    state_.jobs.count_end(job);
    TimePoint end = state_.wall.when(job.ended_wall_ms) + retention_after_end();
    state_.removals.emplace(std::clamp(end, state_.now, state_.now + retention_after_end()), job.id);
    return;
  }
  for (std::uint32_t number = 0; number < job.repeat_count(); ++number) {
    bool done = repeat_done_in(restored.progress, number);
    bool begun = done || number < begun_in(restored.progress);
    if (!begun && due_wall_ms(job, number) > state_.wall.at(state_.now)) break;
    job.next_repeat = number + 1;
    if (done) {
      job.repeats[number].done = true;
      ++job.repeats_done;
    } else {
      open_repeat(job, number, &restored.progress);
    }
    if (job.final()) return;
  }
  if (job.repeats_done == job.repeat_count()) return finish(job, wire::JOB_COMPLETED);
  open_due(job);
}

Millis JobLifecycle::retention_after_end() const { return state_.terms.bounds.status * 3 / 2; }

void JobLifecycle::mark_progress_changed(Job& job) { job.last_change = state_.records.mark_progress(job.id); }

void JobLifecycle::on_changes_durable() {
  while (!state_.awaiting.empty() && state_.records.is_durable(state_.awaiting.front().number)) {
    Job* job = state_.jobs.find(state_.awaiting.front().job);
    ChangeBatchNumber number = state_.awaiting.front().number;
    state_.awaiting.pop_front();
    if (job == nullptr) continue;
    if (job->final()) {
      const bool end_durable = state_.records.is_durable(std::max(number, job->last_change));
      if (end_durable && !job->shown) note_shown(*job);
    } else if (!job->durable) {
      job->durable = true;
      open_due(*job);
    }
  }
}

// The job's spec is dropped from its record only now: a leader that found the record without a spec and
// without the end would take the job for one that had nothing to do.
void JobLifecycle::note_shown(Job& job) {
  job.shown = true;
  state_.records.put(RecordWriteBuffer::job_key(job.id), encode_ended_job(job));
}

std::int64_t JobLifecycle::due_wall_ms(const Job& job, std::uint32_t repeat) const {
  if (job.spec.repeat_count() == 0) return job.accepted_wall_ms;
  return static_cast<std::int64_t>(job.spec.start_at_ms() + repeat * job.spec.interval_ms());
}

void JobLifecycle::open_due(Job& job) {
  bool timed = job.spec.repeat_count() > 0;
  while (job.next_repeat < job.repeat_count() && !job.final()) {
    std::uint32_t number = job.next_repeat;
    if (job.repeats.contains(number)) {
      ++job.next_repeat;
      continue;
    }
    TimePoint due = timed ? state_.wall.when(due_wall_ms(job, number)) : job.accepted_at;
    if (timed && due > state_.now) {
      state_.repeats_due.emplace(std::max(due, state_.now + kLookAgain), job.id);
      return;
    }
    if (job.open_tasks > kMostOpenTasks) {
      state_.repeats_due.emplace(state_.now + kHeldBack, job.id);
      return;
    }
    ++job.next_repeat;
    open_repeat(job, number, nullptr);
  }
}

void JobLifecycle::open_early(Job& job, std::uint32_t repeat) {
  if (job.final() || repeat >= job.repeat_count() || job.repeats.contains(repeat)) return;
  open_repeat(job, repeat, nullptr);
}

void JobLifecycle::open_repeat(Job& job, std::uint32_t number, const wire::ProgressRecord* progress) {
  TimePoint due = job.accepted_at;
  if (job.spec.repeat_count() > 0) due = std::min(state_.now, state_.wall.when(due_wall_ms(job, number)));
  Repeat& repeat = state_.jobs.open_repeat(job, number, due);
  if (progress != nullptr) apply_progress(*progress, number, repeat);
  for (StageInstance& stage : repeat.stages) {
    stage.done_count = static_cast<std::uint32_t>(
        std::count_if(stage.tasks.begin(), stage.tasks.end(), [](const Task& task) { return task.done; }));
    if (stage.done()) ++repeat.stages_done;
    if (stage.done_count > 0 && job.state == wire::JOB_QUEUED) job.state = wire::JOB_RUNNING;
  }
  if (repeat.stages_done == repeat.stages.size()) return repeat_done(job, number, repeat);
  open_stages(job, repeat);
}

void JobLifecycle::open_stages(Job& job, Repeat& repeat) {
  for (StageInstance& stage : repeat.stages) {
    if (job.final()) return;
    if (stage.open) continue;
    const auto& earlier = stage.spec->depends_on();
    bool ready = std::all_of(earlier.begin(), earlier.end(),
                             [&](std::uint32_t number) { return repeat.stages[number].done(); });
    if (ready) open_stage(stage);
  }
}

void JobLifecycle::open_stage(StageInstance& stage) {
  stage.open = true;
  for (Task& task : stage.tasks) ledger_.offer(stage, task);
}

void JobLifecycle::complete(StageInstance& stage, Task& task) {
  if (task.done || stage.job->final()) return;
  if (stage.spec->gang()) {
    for (Task& member : stage.tasks) complete_one(stage, member);
  } else {
    complete_one(stage, task);
  }
  mark_progress_changed(*stage.job);
  if (stage.done()) stage_done(stage);
}

void JobLifecycle::complete_one(StageInstance& stage, Task& task) {
  if (task.done) return;
  task.done = true;
  task.saved = {};
  ++stage.done_count;
  ledger_.withdraw(stage, task);
  if (stage.spec->gang()) return;  // the others end by themselves
  for (Run* copy : std::vector<Run*>(task.runs)) ledger_.stop(*copy);
}

void JobLifecycle::stage_done(StageInstance& stage) {
  Job& job = *stage.job;
  Repeat& repeat = job.repeats.at(stage.repeat);
  ++repeat.stages_done;
  if (repeat.stages_done == repeat.stages.size()) return repeat_done(job, stage.repeat, repeat);
  open_stages(job, repeat);
}

void JobLifecycle::repeat_done(Job& job, std::uint32_t number, Repeat& repeat) {
  repeat.done = true;
  ++job.repeats_done;
  for (const StageInstance& stage : repeat.stages) job.open_tasks -= stage.tasks.size();
  state_.done_repeats.push_back({job.id, number, 0, 0});
  if (job.repeats_done == job.repeat_count()) finish(job, wire::JOB_COMPLETED);
}

void JobLifecycle::record_failure(StageInstance& stage, Task& task, RunNumber run) {
  if (stage.job->final() || task.done || stage.spec->long_running()) return;
  if (std::find(task.failed_runs.begin(), task.failed_runs.end(), run) != task.failed_runs.end()) return;
  task.failed_runs.push_back(run);
  mark_progress_changed(*stage.job);
  if (failures_of(stage, task) >= stage.job->max_retries()) finish(*stage.job, wire::JOB_FAILED);
}

void JobLifecycle::finish(Job& job, wire::JobState final_state) {
  job.state = final_state;
  job.ended_wall_ms = state_.wall.at(state_.now);
  state_.jobs.count_end(job);
  for (auto& [number, repeat] : job.repeats) {
    for (StageInstance& stage : repeat.stages) {
      ledger_.withdraw(stage);
      for (Task& task : stage.tasks) {
        task.saved = {};
        if (final_state == wire::JOB_COMPLETED && stage.spec->gang()) continue;  // they end by themselves
        for (Run* run : std::vector<Run*>(task.runs)) ledger_.stop(*run);
      }
    }
  }
  mark_progress_changed(job);
  state_.awaiting.push_back({job.last_change, job.id});
  state_.removals.emplace(state_.now + retention_after_end(), job.id);
}

void JobLifecycle::run_timers() {
  while (!state_.retries.empty() && state_.retries.begin()->first <= state_.now) {
    TaskRef place = state_.jobs.place_of(state_.retries.begin()->second);
    state_.retries.erase(state_.retries.begin());
    if (place.task != nullptr) ledger_.offer(*place.stage, *place.task);
  }
  while (!state_.repeats_due.empty() && state_.repeats_due.begin()->first <= state_.now) {
    Job* job = state_.jobs.find(state_.repeats_due.begin()->second);
    state_.repeats_due.erase(state_.repeats_due.begin());
    if (job != nullptr && job->durable) open_due(*job);
  }
  clear_done_repeats();
  remove_ended();
}

void JobLifecycle::clear_done_repeats() {
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
      if (run.job == &job) ledger_.detach_job(run);
}

void JobLifecycle::remove_ended() {
  while (!state_.removals.empty() && state_.removals.begin()->first <= state_.now) {
    std::string id = state_.removals.begin()->second;
    state_.removals.erase(state_.removals.begin());
    Job* job = state_.jobs.find(id);
    if (job == nullptr) continue;
    if (!job->shown) {
      state_.removals.emplace(state_.now + retention_after_end(), id);
      continue;
    }
    if (job->live_runs > 0) detach_runs(*job);
    state_.records.unmark_progress(id);
    state_.records.remove(RecordWriteBuffer::job_key(id));
    state_.records.remove(RecordWriteBuffer::progress_key(id));
    state_.jobs.erase(id);
  }
}

}  // namespace winchhall::cluster::scheduling
