// What the end of a run means for its task, and what is known to be over without an end having been listed.
#include "cluster/scheduler/run_end_handler.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

constexpr Millis kShortRun{10000};  // a long-running task that ends earlier is held back
constexpr Millis kFirstHoldBack{100};
constexpr std::uint32_t kMostDoublings = 6;
constexpr Millis kAfterRefusal{200};

std::vector<RunKey> keys_of(const Leaf& leaf) {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : leaf.runs) keys.push_back(key);
  return keys;
}

}  // namespace

ChangeBatchNumber RunEndHandler::listed(Leaf& leaf, const wire::FinishedTask& entry) {
  ++state_.counters.ends.at(wire::EndKind_IsValid(entry.how()) ? entry.how() : wire::END_UNKNOWN);
  TimePoint began = state_.now;
  auto found = leaf.runs.find(RunKeyView{entry.task(), entry.run()});
  if (found != leaf.runs.end()) {
    began = found->second.ordered_at;
    ledger_.remove(found->second);
  }
  auto name = parse_task_name(entry.task());
  if (!name) return 0;
  TaskRef place = state_.jobs.place_of(*name);
  if (place.job != nullptr && place.task == nullptr && !place.job->final()) {
    jobs_.open_early(*place.job, name->repeat);
    place = state_.jobs.place_of(*name);
  }
  if (place.job == nullptr) return 0;
  if (place.task != nullptr) {
    update_leaf_health(leaf, place, entry.how(), began);
    if (!place.job->final()) apply(place, entry, began);
  }
  return place.job->last_change;
}

void RunEndHandler::apply(const TaskRef& place, const wire::FinishedTask& entry, TimePoint began) {
  StageInstance& stage = *place.stage;
  Task& task = *place.task;
  task.last_run = std::max(task.last_run, entry.run());
  save(place, entry.saved(), entry.run());
  bool lasts = stage.spec->long_running();
  if (entry.how() == wire::END_DONE && !lasts) return jobs_.complete(stage, task);
  if (entry.how() == wire::END_FAILED) jobs_.record_failure(stage, task, entry.run());
  if (place.job->final()) return;
  if (lasts && (entry.how() == wire::END_DONE || entry.how() == wire::END_FAILED)) hold_back(task, began);
  if (entry.how() == wire::END_REFUSED) task.earliest_start = state_.now + kAfterRefusal;
  if (stage.spec->gang()) stop_gang_run(stage, entry.run());
  ledger_.offer(stage, task);
}

void RunEndHandler::save(const TaskRef& place, const std::string& saved, RunNumber run) {
  if (saved.empty() || place.task->done || !place.stage->spec->checkpoints() || run < place.task->saved.run)
    return;
  place.task->saved = {saved, run};
  jobs_.mark_progress_changed(*place.job);
}

void RunEndHandler::hold_back(Task& task, TimePoint began) {
  task.consecutive_short_runs = state_.now - began < kShortRun ? task.consecutive_short_runs + 1 : 0;
  if (task.consecutive_short_runs < 2) return;
  task.earliest_start =
      state_.now + kFirstHoldBack * (1 << std::min(task.consecutive_short_runs - 2, kMostDoublings));
}

void RunEndHandler::update_leaf_health(Leaf& leaf, const TaskRef& place, wire::EndKind how, TimePoint began) {
  bool blamed = how == wire::END_FAILED || how == wire::END_REFUSED;
  if (how == wire::END_DONE) {
    leaf.health.succeeded(began);
  } else if (blamed) {
    leaf.health.failed(place.job->id, began, state_.now);
    if (std::find(place.task->failed_leaves.begin(), place.task->failed_leaves.end(), leaf.id) ==
        place.task->failed_leaves.end())
      place.task->failed_leaves.push_back(leaf.id);
  } else {
    leaf.health.ended();
  }
}

void RunEndHandler::on_run_lost(Run& run) {
  StageInstance* stage = run.stage;
  Task* task = run.task;
  RunNumber number = run.number;
  ledger_.remove(run);
  if (task == nullptr) return;
  if (stage->spec->gang() && !task->done) stop_gang_run(*stage, number);
  ledger_.offer(*stage, *task);
}

void RunEndHandler::stop_gang_run(StageInstance& stage, RunNumber number) {
  for (Task& member : stage.tasks)
    for (Run* run : std::vector<Run*>(member.runs))
      if (run->number == number) ledger_.stop(*run);
}

void RunEndHandler::stop_partial_gangs() {
  for (const auto& [id, job] : state_.jobs.all()) {
    if (job->final() || !job->restored) continue;
    for (auto& [number, repeat] : job->repeats) {
      for (StageInstance& stage : repeat.stages) {
        if (!stage.spec->gang() || stage.done()) continue;
        RunNumber run = 0;
        for (const Task& member : stage.tasks)
          if (!member.runs.empty()) run = member.runs.front()->number;
        bool whole = std::all_of(stage.tasks.begin(), stage.tasks.end(),
                                 [](const Task& member) { return !member.runs.empty(); });
        if (run > 0 && !whole) stop_gang_run(stage, run);
      }
    }
  }
}

void RunEndHandler::on_lease_expired(Leaf& leaf) {
  for (const RunKey& key : keys_of(leaf)) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    StageInstance* stage = run.stage;
    Task* task = run.task;
    if (task != nullptr && !task->saved.text.empty() && !run.job->final())
      jobs_.mark_progress_changed(*run.job);
    ledger_.detach(run);
    ledger_.stop(run);
    if (task == nullptr) continue;
    if (stage->spec->gang() && !task->done) stop_gang_run(*stage, key.run);
    ledger_.offer(*stage, *task);
  }
  forget_record(leaf);
}

void RunEndHandler::on_incarnation_ended(Leaf& leaf) {
  for (const RunKey& key : keys_of(leaf)) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    if (run.task != nullptr && !run.task->saved.text.empty() && !run.job->final())
      jobs_.mark_progress_changed(*run.job);
    on_run_lost(run);
  }
  forget_record(leaf);
  Node& node = state_.leaves.node(leaf.node);
  constexpr std::size_t kLivesKept = 8;
  node.over.push_back(leaf.id);
  if (node.over.size() > kLivesKept) node.over.pop_front();
  if (node.leaf_id == leaf.id) node.leaf_id.clear();
  state_.leaves.erase(leaf.id);
  state_.changed = true;
}

void RunEndHandler::forget_record(Leaf& leaf) {
  if (leaf.recorded) state_.records.remove(RecordWriteBuffer::worker_key(leaf.id));
  leaf.recorded = false;
  if (state_.unsynchronized_leaves.erase(leaf.id) > 0 && state_.unsynchronized_leaves.empty())
    stop_partial_gangs();
  state_.changed = true;
}

}  // namespace winchhall::cluster::scheduling
