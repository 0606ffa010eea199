// What the end of a run means for its task, and what is known to be over without an end having been listed.
#include "cluster/scheduler/task_ends.hpp"

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

ChangeNumber TaskEnds::listed(Leaf& leaf, const wire::FinishedTask& entry) {
  ++state_.counters.ends.at(wire::EndKind_IsValid(entry.how()) ? entry.how() : wire::END_UNKNOWN);
  TimePoint began = state_.now;
  auto found = leaf.runs.find(RunKeyView{entry.task(), entry.run()});
  if (found != leaf.runs.end()) {
    began = found->second.ordered_at;
    ledger_.take_out(found->second);
  }
  auto name = parse_task_name(entry.task());
  if (!name) return 0;
  TaskPlace place = state_.jobs.place_of(*name);
  if (place.job != nullptr && place.task == nullptr && !place.job->final()) {
    jobs_.open_early(*place.job, name->repeat);
    place = state_.jobs.place_of(*name);
  }
  if (place.job == nullptr) return 0;
  if (place.task != nullptr) {
    judge_leaf(leaf, place, entry.how(), began);
    if (!place.job->final()) apply(place, entry, began);
  }
  return place.job->last_change;
}

void TaskEnds::apply(const TaskPlace& place, const wire::FinishedTask& entry, TimePoint began) {
  StageInstance& stage = *place.stage;
  Task& task = *place.task;
  task.last_run = std::max(task.last_run, entry.run());
  save(place, entry.saved(), entry.run());
  bool lasts = stage.spec->long_running();
  if (entry.how() == wire::END_DONE && !lasts) return jobs_.complete(stage, task);
  if (entry.how() == wire::END_FAILED) jobs_.count_failure(stage, task, entry.run());
  if (place.job->final()) return;
  if (lasts && (entry.how() == wire::END_DONE || entry.how() == wire::END_FAILED)) hold_back(task, began);
  if (entry.how() == wire::END_REFUSED) task.not_before = state_.now + kAfterRefusal;
  if (stage.spec->gang()) break_gang(stage, entry.run());
  ledger_.offer(stage, task);
}

void TaskEnds::save(const TaskPlace& place, const std::string& saved, RunNumber run) {
  if (saved.empty() || place.task->done || !place.stage->spec->checkpoints() || run < place.task->saved.run)
    return;
  place.task->saved = {saved, run};
  jobs_.note_progress(*place.job);
}

void TaskEnds::hold_back(Task& task, TimePoint began) {
  task.short_runs = state_.now - began < kShortRun ? task.short_runs + 1 : 0;
  if (task.short_runs < 2) return;
  task.not_before = state_.now + kFirstHoldBack * (1 << std::min(task.short_runs - 2, kMostDoublings));
}

void TaskEnds::judge_leaf(Leaf& leaf, const TaskPlace& place, wire::EndKind how, TimePoint began) {
  bool blamed = how == wire::END_FAILED || how == wire::END_REFUSED;
  if (how == wire::END_DONE) {
    leaf.health.succeeded(began);
  } else if (blamed) {
    leaf.health.failed(place.job->id, began, state_.now);
    if (std::find(place.task->failed_on.begin(), place.task->failed_on.end(), leaf.id) ==
        place.task->failed_on.end())
      place.task->failed_on.push_back(leaf.id);
  } else {
    leaf.health.ended();
  }
}

void TaskEnds::not_there(Run& run) {
  StageInstance* stage = run.stage;
  Task* task = run.task;
  RunNumber number = run.number;
  ledger_.take_out(run);
  if (task == nullptr) return;
  if (stage->spec->gang() && !task->done) break_gang(*stage, number);
  ledger_.offer(*stage, *task);
}

void TaskEnds::break_gang(StageInstance& stage, RunNumber number) {
  for (Task& member : stage.tasks)
    for (Run* run : std::vector<Run*>(member.runs))
      if (run->number == number) ledger_.stop(*run);
}

void TaskEnds::break_torn_gangs() {
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
        if (run > 0 && !whole) break_gang(stage, run);
      }
    }
  }
}

void TaskEnds::hold_over(Leaf& leaf) {
  for (const RunKey& key : keys_of(leaf)) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    StageInstance* stage = run.stage;
    Task* task = run.task;
    if (task != nullptr && !task->saved.text.empty() && !run.job->final()) jobs_.note_progress(*run.job);
    ledger_.detach(run);
    ledger_.stop(run);
    if (task == nullptr) continue;
    if (stage->spec->gang() && !task->done) break_gang(*stage, key.run);
    ledger_.offer(*stage, *task);
  }
  forget_record(leaf);
}

void TaskEnds::life_over(Leaf& leaf) {
  for (const RunKey& key : keys_of(leaf)) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    if (run.task != nullptr && !run.task->saved.text.empty() && !run.job->final())
      jobs_.note_progress(*run.job);
    not_there(run);
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

void TaskEnds::forget_record(Leaf& leaf) {
  if (leaf.recorded) state_.records.remove(RecordLog::worker_key(leaf.id));
  leaf.recorded = false;
  if (state_.unheard.erase(leaf.id) > 0 && state_.unheard.empty()) break_torn_gangs();
  state_.changed = true;
}

}  // namespace winchhall::cluster::scheduling
