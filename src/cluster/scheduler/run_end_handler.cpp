#include "cluster/scheduler/run_end_handler.hpp"

#include <algorithm>
#include <vector>

namespace winchhall::cluster::scheduling {
namespace {

// Restart backoff of a long-running task: starts with the second run in succession that ends within
// kShortRun, and doubles with each further one.
constexpr Millis kShortRun{10000};
constexpr Millis kFirstBackoff{100};
constexpr std::uint32_t kMaxBackoffDoublings = 6;

constexpr Millis kRefusalBackoff{200};            // after a leaf has refused to start the task
constexpr std::size_t kMaxEndedIncarnations = 8;  // remembered per node

// Returns copies, because handling one run may remove others of the same leaf.
std::vector<RunKey> keys_of_runs(const Leaf& leaf) {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : leaf.runs) keys.push_back(key);
  return keys;
}

}  // namespace

ChangeBatchNumber RunEndHandler::on_end_reported(Leaf& leaf, const wire::FinishedTask& entry) {
  ++state_.counters.ends.at(wire::EndKind_IsValid(entry.how()) ? entry.how() : wire::END_UNKNOWN);
  TimePoint started = state_.now;
  auto found = leaf.runs.find(RunKeyView{entry.task(), entry.run()});
  const bool expected = found != leaf.runs.end();
  if (expected) {
    started = found->second.ordered_at;
    runs_.remove(found->second);
  }
  auto name = parse_task_name(entry.task());
  if (!name) return 0;
  TaskRef ref = state_.jobs.find_task(*name);
  if (ref.job != nullptr && ref.task == nullptr && !ref.job->is_final()) {
    jobs_.start_repeat_early(*ref.job, name->repeat);
    ref = state_.jobs.find_task(*name);
  }
  if (ref.job == nullptr) return 0;
  if (!expected) runs_.record_if_unexpected({leaf, entry.task(), entry.run(), true}, ref);
  if (ref.task != nullptr) {
    update_leaf_health(leaf, ref, entry.how(), started);
    if (!ref.job->is_final()) apply_end(ref, entry, started);
  }
  return ref.job->last_change_batch;
}

void RunEndHandler::apply_end(const TaskRef& ref, const wire::FinishedTask& entry, TimePoint started) {
  StageInstance& stage = *ref.stage;
  Task& task = *ref.task;
  task.last_run = std::max(task.last_run, entry.run());
  update_checkpoint(ref, entry.saved(), entry.run());
  const bool long_running = stage.spec->long_running();
  if (entry.how() == wire::END_DONE && !long_running) return jobs_.complete_task(stage, task);
  if (entry.how() == wire::END_FAILED) jobs_.record_failure(stage, task, entry.run());
  if (ref.job->is_final()) return;
  if (long_running && (entry.how() == wire::END_DONE || entry.how() == wire::END_FAILED))
    apply_restart_backoff(task, started);
  if (entry.how() == wire::END_REFUSED) task.earliest_start = state_.now + kRefusalBackoff;
  if (stage.spec->gang()) stop_gang_run(stage, entry.run());
  runs_.enqueue_if_ready(stage, task);
}

void RunEndHandler::update_checkpoint(const TaskRef& ref, const std::string& text, RunNumber run) {
  Task& task = *ref.task;
  if (text.empty() || task.done || !ref.stage->spec->checkpoints() || run < task.checkpoint.run) return;
  task.checkpoint = {text, run};
  jobs_.mark_progress_changed(*ref.job);
}

void RunEndHandler::apply_restart_backoff(Task& task, TimePoint started) {
  task.consecutive_short_runs = state_.now - started < kShortRun ? task.consecutive_short_runs + 1 : 0;
  if (task.consecutive_short_runs < 2) return;
  const std::uint32_t doublings = std::min(task.consecutive_short_runs - 2, kMaxBackoffDoublings);
  task.earliest_start = state_.now + kFirstBackoff * (1 << doublings);
}

void RunEndHandler::update_leaf_health(Leaf& leaf, const TaskRef& ref, wire::EndKind how, TimePoint started) {
  if (how == wire::END_DONE) {
    leaf.health.on_success(started);
  } else if (how == wire::END_FAILED || how == wire::END_REFUSED) {
    leaf.health.on_failure(ref.job->id, started, state_.now);
    std::vector<std::string>& failed = ref.task->failed_leaves;
    if (std::find(failed.begin(), failed.end(), leaf.id) == failed.end()) failed.push_back(leaf.id);
  } else {
    leaf.health.on_other_end(state_.now);
  }
}

void RunEndHandler::record_loss(const Run& run, RunLossReason reason) {
  const Leaf& leaf = *run.leaf;
  state_.losses.add({run.name, run.number, reason, state_.now, leaf.session, leaf.report_number});
}

void RunEndHandler::on_run_lost(Run& run, RunLossReason reason) {
  record_loss(run, reason);
  StageInstance* stage = run.stage;
  Task* task = run.task;
  RunNumber number = run.number;
  runs_.remove(run);
  if (task == nullptr) return;
  if (stage->spec->gang() && !task->done) stop_gang_run(*stage, number);
  runs_.enqueue_if_ready(*stage, *task);
}

void RunEndHandler::stop_gang_run(StageInstance& stage, RunNumber number) {
  for (Task& member : stage.tasks)
    for (Run* run : std::vector<Run*>(member.runs))
      if (run->number == number) runs_.stop_run(*run);
}

void RunEndHandler::stop_partial_gangs() {
  for (const auto& [id, job] : state_.jobs.all()) {
    if (job->is_final() || !job->restored) continue;
    for (auto& [number, repeat] : job->repeats)
      for (StageInstance& stage : repeat.stages)
        if (stage.spec->gang() && !stage.done()) stop_if_partial(stage);
  }
}

void RunEndHandler::stop_if_partial(StageInstance& stage) {
  const RunNumber number = RunTable::newest_gang_run(stage);
  const bool complete = std::all_of(stage.tasks.begin(), stage.tasks.end(), [number](const Task& member) {
    return std::any_of(member.runs.begin(), member.runs.end(),
                       [number](const Run* run) { return run->number == number; });
  });
  if (number > 0 && !complete) stop_gang_run(stage, number);
}

void RunEndHandler::write_checkpoint(const Run& run) {
  if (run.task == nullptr || run.task->checkpoint.text.empty() || run.job->is_final()) return;
  jobs_.mark_progress_changed(*run.job);
}

void RunEndHandler::on_lease_expired(Leaf& leaf) {
  ++state_.counters.leaf_leases_expired;
  for (const RunKey& key : keys_of_runs(leaf)) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    Run& run = found->second;
    StageInstance* stage = run.stage;
    Task* task = run.task;
    if (task != nullptr) record_loss(run, RunLossReason::lease_expired);
    write_checkpoint(run);
    runs_.detach_task(run);
    runs_.stop_run(run);
    if (task == nullptr) continue;
    if (stage->spec->gang() && !task->done) stop_gang_run(*stage, key.run);
    runs_.enqueue_if_ready(*stage, *task);
  }
  remove_leaf_record(leaf);
}

void RunEndHandler::on_incarnation_ended(Leaf& leaf) {
  for (const RunKey& key : keys_of_runs(leaf)) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    write_checkpoint(found->second);
    on_run_lost(found->second, RunLossReason::incarnation_ended);
  }
  remove_leaf_record(leaf);
  Node& node = state_.leaves.node(leaf.node);
  node.ended_incarnations.push_back(leaf.id);
  if (node.ended_incarnations.size() > kMaxEndedIncarnations) node.ended_incarnations.pop_front();
  if (node.current_leaf_id == leaf.id) node.current_leaf_id.clear();
  state_.leaves.erase(leaf.id);
  state_.replan_needed = true;
}

void RunEndHandler::remove_leaf_record(Leaf& leaf) {
  if (leaf.has_record) state_.records.remove(worker_key(leaf.id));
  leaf.has_record = false;
  if (state_.unsynchronized_leaves.erase(leaf.id) > 0 && state_.unsynchronized_leaves.empty())
    stop_partial_gangs();
  state_.replan_needed = true;
}

}  // namespace winchhall::cluster::scheduling
