// Looks after what runs: tasks that stand still, tasks that take too long, leaves that leave or fall silent.
#include "cluster/scheduler/run_monitor.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/run_end_estimate.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr Millis kPace{100};
constexpr Millis kEndsAfterLeaving{
    4000};  // a leaf whose Deregister is not acknowledged runs on for some seconds
constexpr Millis kStillFor{3000};
constexpr double kStillForHints = 0.3;  // of the hint, without a percent of progress
constexpr Millis kGangAssembles{3500};
constexpr double kCopyAfterTimes = 2.5;
constexpr Millis kCopyAfter{1000};
constexpr std::uint32_t kMovesBelowMs = 2500;  // a leaving leaf's lasting tasks move when it has less left
constexpr double kAsideAtMost = 0.5;           // part of the leaves that may be set aside

double since_ms(TimePoint from, TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace

void RunMonitor::look() {
  if (state_.now < next_look_) return;
  next_look_ = state_.now + kPace;
  look_at_leaves();
  copy_slow_runs();
}

void RunMonitor::look_at_leaves() {
  std::vector<Leaf*> leaves;
  std::size_t aside = 0;
  for (const auto& leaf : state_.leaves.all()) {
    leaves.push_back(leaf.get());
    if (leaf->health.aside(state_.now)) ++aside;
  }
  state_.ejection_enabled = static_cast<double>(aside) <= kAsideAtMost * static_cast<double>(leaves.size());
  for (Leaf* leaf : leaves) {
    if (leaf->left && state_.now - leaf->left_at >= kEndsAfterLeaving) {
      ends_.on_incarnation_ended(*leaf);
    } else if (!is_reachable(state_, *leaf) && state_.now > leaf->lease_expires_at) {
      bool may_run =
          leaf->recorded || std::any_of(leaf->runs.begin(), leaf->runs.end(),
                                        [](const auto& entry) { return entry.second.task != nullptr; });
      if (may_run) ends_.on_lease_expired(*leaf);
    } else {
      look_at_runs(*leaf);
    }
  }
}

void RunMonitor::look_at_runs(Leaf& leaf) {
  std::vector<RunKey> stopped;
  for (auto& [key, run] : leaf.runs) {
    if (run.percent > 0 && run.percent < 100) percent_told_ = true;
    if (run.task == nullptr || run.stop_revision > 0 || !run.listed) continue;
    bool still = is_stalled(run);
    if (!still && !must_move(leaf, run) && !must_be_spared(leaf, run)) continue;
    if (still) {
      leaf.health.stalled(run.job->id, run.ordered_at, state_.now);
      run.task->failed_leaves.push_back(leaf.id);
    }
    stopped.push_back(key);
  }
  for (const RunKey& key : stopped) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    StageInstance& stage = *found->second.stage;
    ledger_.stop(found->second);
    if (stage.spec->gang()) ends_.stop_gang_run(stage, key.run);
  }
}

bool RunMonitor::is_stalled(const Run& run) const {
  const wire::Stage& spec = *run.stage->spec;
  if (!percent_told_ || spec.long_running() || run.percent >= 100 || !is_reachable(state_, *run.leaf))
    return false;
  double bound = std::max(static_cast<double>(kStillFor.count()), run.cost * kStillForHints);
  if (spec.gang()) bound += static_cast<double>(kGangAssembles.count());
  return since_ms(run.moved_at, state_.now) > bound;
}

bool RunMonitor::must_move(const Leaf& leaf, const Run& run) const {
  if (!leaf.draining || leaf.left) return false;
  const wire::Stage& spec = *run.stage->spec;
  double left = leaf.remaining_ms - since_ms(leaf.reported_at, state_.now);
  if (spec.long_running()) return left < kMovesBelowMs;
  if (!spec.checkpoints()) return false;
  return since_ms(state_.now, expected_end(state_, run)) > left;
}

bool RunMonitor::must_be_spared(const Leaf& leaf, const Run& run) const {
  // What was started there since is a trial and runs to its end.
  if (!leaf.health.suspect() || run.ordered_at >= leaf.health.suspect_since()) return false;
  return is_risky_last_attempt(state_, leaf, *run.stage, *run.task);
}

void RunMonitor::copy_slow_runs() {
  if (!state_.queue.empty()) return;  // no spare room
  std::vector<StageInstance*> stages;
  for (const auto& leaf : state_.leaves.all())
    for (const auto& [key, run] : leaf->runs) {
      if (run.task == nullptr || !run.stage->spec->speculative() || run.stage->spec->gang()) continue;
      if (std::find(stages.begin(), stages.end(), run.stage) == stages.end()) stages.push_back(run.stage);
    }
  for (StageInstance* stage : stages)
    if (may_start(state_, *stage->job)) copy_slow(*stage);
}

void RunMonitor::copy_slow(StageInstance& stage) {
  if (stage.spec->long_running() || stage.job->final()) return;
  double bound = std::max(static_cast<double>(kCopyAfter.count()), stage.hint * kCopyAfterTimes);
  for (Task& task : stage.tasks) {
    if (task.done || task.runs.size() != 1) continue;
    const Run& run = *task.runs.front();
    if (!run.listed || run.stop_revision > 0 || since_ms(run.listed_at, state_.now) < bound) continue;
    if (failures_of(stage, task) + 1 >= stage.job->max_retries()) continue;  // the run there may yet fail
    placement::LeastCost<Leaf*> choice;
    for (const auto& leaf : state_.leaves.all()) {
      if (leaf.get() == run.leaf || !is_schedulable(state_, *leaf, stage)) continue;
      if (slots_for(*leaf, stage, leaf->free()) > 0) choice.offer(leaf.get(), leaf->cost, state_.random);
    }
    if (choice.empty()) return;
    double cost = stage.hint * remote_slowdown(state_, *choice.best(), stage);
    ledger_.start(stage, task, *choice.best(), ledger_.next_run_number(stage, task), cost);
  }
}

}  // namespace winchhall::cluster::scheduling
