#include "cluster/scheduler/record_codec.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "cluster/scheduler/record_keys.hpp"

namespace winchhall::cluster::scheduling {
namespace {

using ProgressById = std::unordered_map<std::string, wire::ProgressRecord>;

wire::TaskProgress* add_entry(wire::ProgressRecord& record, std::uint32_t repeat, std::uint32_t stage,
                              std::uint32_t index) {
  wire::TaskProgress* entry = record.add_tasks();
  entry->set_repeat(repeat);
  entry->set_stage(stage);
  entry->set_index(index);
  return entry;
}

void add_task(wire::ProgressRecord& record, const StageInstance& stage, const Task& task) {
  if (task.done) {
    add_entry(record, stage.repeat, stage.number, task.index)->set_done(true);
    return;
  }
  for (RunNumber run : task.failed_runs) {
    wire::TaskProgress* entry = add_entry(record, stage.repeat, stage.number, task.index);
    entry->set_failures(1);
    entry->set_last_run(run);
  }
  if (task.checkpoint.text.empty()) return;
  wire::TaskProgress* entry = add_entry(record, stage.repeat, stage.number, task.index);
  entry->set_saved(task.checkpoint.text);
  entry->set_last_run(task.checkpoint.run);
}

void add_stage(wire::ProgressRecord& record, const StageInstance& stage) {
  if (stage.done()) {
    add_entry(record, stage.repeat, stage.number, kAllIndices)->set_done(true);
    return;
  }
  for (const Task& task : stage.tasks) add_task(record, stage, task);
}

// Number of done repeats before the first that isn't done.
std::uint32_t count_leading_done_repeats(const Job& job) {
  std::uint32_t count = 0;
  for (const auto& [number, repeat] : job.repeats) {
    if (number != count || !repeat.done) break;
    ++count;
  }
  return count;
}

void apply_entry(const wire::TaskProgress& entry, StageInstance& stage) {
  if (entry.index() == kAllIndices) {
    for (Task& task : stage.tasks) task.done = entry.done();
    return;
  }
  if (entry.index() >= stage.tasks.size()) return;
  Task& task = stage.tasks[entry.index()];
  task.done = task.done || entry.done();
  task.last_run = std::max(task.last_run, entry.last_run());
  if (entry.failures() > 0) task.failed_runs.push_back(entry.last_run());
  if (!entry.saved().empty()) task.checkpoint = {entry.saved(), entry.last_run()};
}

wire::JobRecord make_record_without_spec(const Job& job) {
  wire::JobRecord record;
  record.set_id(job.id);
  *record.mutable_terms() = job.terms;
  record.set_accepted_wall_ms(job.accepted_wall_ms);
  return record;
}

// Decodes one record into `state`, or into `progress` if it is a progress record, which is assigned to its
// job later.
void decode_record(const ShardEntry& entry, RestoredState& state, ProgressById& progress) {
  if (entry.key.starts_with(kJobKeyPrefix)) {
    RestoredJob job;
    if (job.record.ParseFromString(entry.value) && !job.record.id().empty())
      state.jobs.push_back(std::move(job));
  } else if (entry.key.starts_with(kProgressKeyPrefix)) {
    wire::ProgressRecord record;
    if (record.ParseFromString(entry.value))
      progress[entry.key.substr(kProgressKeyPrefix.size())] = std::move(record);
  } else if (entry.key.starts_with(kWorkerKeyPrefix)) {
    wire::WorkerRecord record;
    if (!record.ParseFromString(entry.value)) record.Clear();
    record.set_leaf_id(entry.key.substr(kWorkerKeyPrefix.size()));
    state.workers.push_back(std::move(record));
  } else if (entry.key.starts_with(kTombstoneKeyPrefix)) {
    wire::JobTombstoneRecord record;
    if (record.ParseFromString(entry.value)) state.tombstones.push_back(std::move(record));
  }
}

}  // namespace

std::string encode_job(const Job& job) {
  wire::JobRecord record = make_record_without_spec(job);
  *record.mutable_spec() = job.spec;
  return record.SerializeAsString();
}

std::string encode_ended_job(const Job& job) { return make_record_without_spec(job).SerializeAsString(); }

std::string encode_progress(const Job& job) {
  wire::ProgressRecord record;
  record.set_id(job.id);
  record.set_state(job.state);
  record.set_ended_wall_ms(job.ended_wall_ms);
  if (job.is_final()) return record.SerializeAsString();
  const std::uint32_t leading_done = count_leading_done_repeats(job);
  if (leading_done > 0) add_entry(record, leading_done - 1, kAllIndices, kAllIndices)->set_done(true);
  for (const auto& [number, repeat] : job.repeats) {
    if (number < leading_done) continue;
    if (repeat.done) {
      add_entry(record, number, kAllIndices, 0)->set_done(true);
      continue;
    }
    for (const StageInstance& stage : repeat.stages) add_stage(record, stage);
  }
  return record.SerializeAsString();
}

std::string encode_worker(const std::string& leaf_id, const std::string& node) {
  wire::WorkerRecord record;
  record.set_leaf_id(leaf_id);
  record.set_node_name(node);
  return record.SerializeAsString();
}

RestoredState decode_records(const std::vector<ShardEntry>& entries) {
  RestoredState state;
  ProgressById progress;
  for (const ShardEntry& entry : entries) decode_record(entry, state, progress);
  for (RestoredJob& job : state.jobs) {
    auto found = progress.find(job.record.id());
    if (found == progress.end()) continue;
    job.progress = std::move(found->second);
    progress.erase(found);
  }
  for (const auto& [id, record] : progress) state.orphaned_keys.push_back(progress_key(id));
  return state;
}

bool is_repeat_done(const wire::ProgressRecord& progress, std::uint32_t repeat) {
  for (const wire::TaskProgress& entry : progress.tasks()) {
    if (entry.stage() != kAllIndices || !entry.done()) continue;
    if (entry.index() == kAllIndices ? repeat <= entry.repeat() : repeat == entry.repeat()) return true;
  }
  return false;
}

std::uint32_t count_started_repeats(const wire::ProgressRecord& progress) {
  std::uint32_t count = 0;
  for (const wire::TaskProgress& entry : progress.tasks()) count = std::max(count, entry.repeat() + 1);
  return count;
}

void apply_progress(const wire::ProgressRecord& progress, std::uint32_t repeat, Repeat& repeat_state) {
  for (const wire::TaskProgress& entry : progress.tasks())
    if (entry.repeat() == repeat && entry.stage() < repeat_state.stages.size())
      apply_entry(entry, repeat_state.stages[entry.stage()]);
}

}  // namespace winchhall::cluster::scheduling
