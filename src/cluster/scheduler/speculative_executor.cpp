#include "cluster/scheduler/speculative_executor.hpp"

#include <algorithm>
#include <chrono>

#include "cluster/scheduler/eligibility.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// A run is slow after this multiple of its stage's estimate, but not before this time.
constexpr double kSlowEstimateFactor = 2.5;
constexpr Millis kMinSlowTime{1000};

}  // namespace

void SpeculativeExecutor::check() {
  if (!state_.queue.empty()) return;
  for (StageInstance* stage : find_stages())
    if (may_start_tasks(state_, *stage->job)) check_stage(*stage);
}

std::vector<StageInstance*> SpeculativeExecutor::find_stages() const {
  std::vector<StageInstance*> stages;
  for (const auto& leaf : state_.leaves.all()) {
    for (const auto& [key, run] : leaf->runs) {
      if (run.task == nullptr || !run.stage->spec->speculative() || run.stage->spec->gang()) continue;
      if (std::find(stages.begin(), stages.end(), run.stage) == stages.end()) stages.push_back(run.stage);
    }
  }
  return stages;
}

bool SpeculativeExecutor::needs_second_run(const StageInstance& stage, const Task& task) const {
  if (task.done || task.runs.size() != 1) return false;
  const Run& run = *task.runs.front();
  if (!run.reported || run.stop_revision > 0) return false;
  const double limit_ms =
      std::max(static_cast<double>(kMinSlowTime.count()), stage.estimate_ms * kSlowEstimateFactor);
  const std::chrono::duration<double, std::milli> elapsed = state_.now - run.first_reported_at;
  if (elapsed.count() < limit_ms) return false;
  // The first run may still fail, and then the second one must not be the last attempt.
  return count_failed_runs(stage, task) + 1 < stage.job->max_retries();
}

Leaf* SpeculativeExecutor::choose_leaf(const StageInstance& stage, const Leaf& first_leaf) {
  placement::LeastCost<Leaf*> choice;
  for (const auto& leaf : state_.leaves.all()) {
    if (leaf.get() == &first_leaf || !is_schedulable(state_, *leaf, stage)) continue;
    if (slots_for(*leaf, stage, leaf->available()) > 0)
      choice.offer(leaf.get(), leaf->load_ms, state_.random);
  }
  return choice.empty() ? nullptr : choice.best();
}

void SpeculativeExecutor::check_stage(StageInstance& stage) {
  if (stage.spec->long_running() || stage.job->is_final()) return;
  for (Task& task : stage.tasks) {
    if (!needs_second_run(stage, task)) continue;
    Leaf* leaf = choose_leaf(stage, *task.runs.front()->leaf);
    if (leaf == nullptr) return;
    runs_.start_run(stage, task, *leaf, runs_.next_run_number(stage, task),
                    estimate_ms_on(state_, *leaf, stage));
  }
}

}  // namespace winchhall::cluster::scheduling
