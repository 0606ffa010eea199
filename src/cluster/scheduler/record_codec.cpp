// Durable form of jobs and their progress.
#include "cluster/scheduler/record_codec.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::string_view kJobPrefix = "job/";
constexpr std::string_view kProgressPrefix = "progress/";
constexpr std::string_view kWorkerPrefix = "worker/";

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
  if (task.saved.text.empty()) return;
  wire::TaskProgress* entry = add_entry(record, stage.repeat, stage.number, task.index);
  entry->set_saved(task.saved.text);
  entry->set_last_run(task.saved.run);
}

void add_stage(wire::ProgressRecord& record, const StageInstance& stage) {
  if (stage.done()) {
    add_entry(record, stage.repeat, stage.number, kEvery)->set_done(true);
    return;
  }
  for (const Task& task : stage.tasks) add_task(record, stage, task);
}

// Repeats at the front that are all done.
std::uint32_t done_prefix(const Job& job) {
  std::uint32_t count = 0;
  for (const auto& [number, repeat] : job.repeats) {
    if (number != count || !repeat.done) break;
    ++count;
  }
  return count;
}

bool starts_with(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

void apply_entry(const wire::TaskProgress& entry, StageInstance& stage) {
  if (entry.index() == kEvery) {
    for (Task& task : stage.tasks) task.done = entry.done();
    return;
  }
  if (entry.index() >= stage.tasks.size()) return;
  Task& task = stage.tasks[entry.index()];
  task.done = task.done || entry.done();
  task.last_run = std::max(task.last_run, entry.last_run());
  if (entry.failures() > 0) task.failed_runs.push_back(entry.last_run());
  if (!entry.saved().empty()) task.saved = {entry.saved(), entry.last_run()};
}

}  // namespace

std::string encode_job(const Job& job) {
  wire::JobRecord record;
  record.set_id(job.id);
  *record.mutable_spec() = job.spec;
  *record.mutable_terms() = job.terms;
  record.set_accepted_wall_ms(job.accepted_wall_ms);
  return record.SerializeAsString();
}

std::string encode_ended_job(const Job& job) {
  wire::JobRecord record;
  record.set_id(job.id);
  *record.mutable_terms() = job.terms;
  record.set_accepted_wall_ms(job.accepted_wall_ms);
  return record.SerializeAsString();
}

std::string encode_progress(const Job& job) {
  wire::ProgressRecord record;
  record.set_id(job.id);
  record.set_state(job.state);
  record.set_ended_wall_ms(job.ended_wall_ms);
  if (job.final()) return record.SerializeAsString();
  std::uint32_t prefix = done_prefix(job);
  if (prefix > 0) add_entry(record, prefix - 1, kEvery, kEvery)->set_done(true);
  for (const auto& [number, repeat] : job.repeats) {
    if (number < prefix) continue;
    if (repeat.done) {
      add_entry(record, number, kEvery, 0)->set_done(true);
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
  std::unordered_map<std::string, wire::ProgressRecord> progress;
  for (const ShardEntry& entry : entries) {
    if (starts_with(entry.key, kJobPrefix)) {
      RestoredJob job;
      if (job.record.ParseFromString(entry.value) && !job.record.id().empty())
        state.jobs.push_back(std::move(job));
    } else if (starts_with(entry.key, kProgressPrefix)) {
      wire::ProgressRecord record;
      if (record.ParseFromString(entry.value))
        progress[entry.key.substr(kProgressPrefix.size())] = std::move(record);
    } else if (starts_with(entry.key, kWorkerPrefix)) {
      wire::WorkerRecord record;
      if (!record.ParseFromString(entry.value)) record.Clear();
      record.set_leaf_id(entry.key.substr(kWorkerPrefix.size()));
      state.workers.push_back(std::move(record));
    }
  }
  for (RestoredJob& job : state.jobs) {
    auto found = progress.find(job.record.id());
    if (found == progress.end()) continue;
    job.progress = std::move(found->second);
    progress.erase(found);
  }
  for (const auto& [id, record] : progress) state.stray_keys.push_back(std::string(kProgressPrefix) + id);
  return state;
}

bool repeat_done_in(const wire::ProgressRecord& progress, std::uint32_t repeat) {
  for (const wire::TaskProgress& entry : progress.tasks()) {
    if (entry.stage() != kEvery || !entry.done()) continue;
    if (entry.index() == kEvery ? repeat <= entry.repeat() : repeat == entry.repeat()) return true;
  }
  return false;
}

std::uint32_t begun_in(const wire::ProgressRecord& progress) {
  std::uint32_t begun = 0;
  for (const wire::TaskProgress& entry : progress.tasks()) begun = std::max(begun, entry.repeat() + 1);
  return begun;
}

void apply_progress(const wire::ProgressRecord& progress, std::uint32_t repeat, Repeat& opened) {
  for (const wire::TaskProgress& entry : progress.tasks())
    if (entry.repeat() == repeat && entry.stage() < opened.stages.size())
      apply_entry(entry, opened.stages[entry.stage()]);
}

}  // namespace winchhall::cluster::scheduling
