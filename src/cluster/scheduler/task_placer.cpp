// Gives waiting tasks to leaves: by queue order, each to the eligible leaf with the least summed hinted cost.
#include "cluster/scheduler/task_placer.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/gang_placement.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMostLooks = 2000;  // waiting stages looked at in one round

// Part of the time lost by running away from the data that a task waits for room near them.
constexpr double kNearPatience = 0.5;

// True if the task failed there and that may be the leaf's fault.
bool is_deprioritized_for(const Leaf& leaf, const Task& task) {
  if (!leaf.health.doubtful()) return false;
  return std::find(task.failed_leaves.begin(), task.failed_leaves.end(), leaf.id) != task.failed_leaves.end();
}

// Leaves away from the data go after those near them, leaves on which the task failed before go last.
int rank_of(const Leaf& leaf, const StageInstance& stage, const Task& task) {
  constexpr int kFailedHere = 4;
  constexpr int kSuspect = 2;
  constexpr int kAway = 1;
  int rank = is_deprioritized_for(leaf, task) ? kFailedHere : 0;
  if (leaf.health.suspect()) rank += kSuspect;
  if (is_remote(leaf, stage)) rank += kAway;
  return rank;
}

bool has_run_of(const Leaf& leaf, const StageInstance& stage, const Task& task) {
  if (!stage.on_leaf.contains(&leaf)) return false;
  std::string name = format_task_name(stage.name_of(task.index));
  return std::any_of(leaf.runs.begin(), leaf.runs.end(),
                     [&](const auto& entry) { return entry.first.task == name; });
}

// A task that must not fail again waits so long for a leaf that is not likely to fail it.
constexpr Millis kLastTryPatience{2000};

}  // namespace

void TaskPlacer::place_all() {
  exhausted_.clear();
  claims_.begin_round();
  preemption_.begin_round();
  std::vector<StageInstance*> stages;
  stages.reserve(std::min(kMostLooks, state_.queue.stages().size()));
  for (const auto& [key, stage] : state_.queue.stages()) {
    if (stages.size() == kMostLooks) break;
    stages.push_back(stage);
  }
  for (StageInstance* stage : stages) {
    if (!stage->queued || !may_start(state_, *stage->job)) continue;
    state_.queue.update_deadline_status(*stage, state_.now);
    if (is_exhausted(*stage)) {
      find_candidates(*stage);
      preempt_for(*stage);
    } else {
      place_stage(*stage);
    }
  }
}

void TaskPlacer::find_candidates(const StageInstance& stage) {
  candidates_.clear();
  for (const auto& leaf : state_.leaves.all())
    if (is_schedulable(state_, *leaf, stage)) candidates_.push_back(leaf.get());
}

void TaskPlacer::place_stage(StageInstance& stage) {
  find_candidates(stage);
  if (!candidates_.empty()) {
    if (stage.spec->gang()) {
      if (place_gang(stage)) return;
    } else {
      place_singles(stage);
    }
  }
  if (stage.queued) note_blocked(stage);
}

void TaskPlacer::place_singles(StageInstance& stage) {
  for (std::uint32_t index : std::vector<std::uint32_t>(stage.waiting.begin(), stage.waiting.end())) {
    Task& task = stage.tasks[index];
    Leaf* leaf = choose(stage, task);
    if (leaf == nullptr) return;
    if (is_remote(*leaf, stage) && waits_for_local_capacity(stage, task)) return;
    double cost = stage.hint * remote_slowdown(state_, *leaf, stage);
    ledger_.start(stage, task, *leaf, ledger_.next_run_number(stage, task), cost);
  }
}

Leaf* TaskPlacer::choose(const StageInstance& stage, const Task& task) {
  placement::LeastCost<Leaf*> choice;
  for (Leaf* leaf : candidates_) {
    if (state_.is_ejected(*leaf) || slots_for(*leaf, stage, leaf->free()) == 0) continue;
    if (!respects_reservation(state_, *leaf, stage) || has_run_of(*leaf, stage, task)) continue;
    if (avoids_risky_last_attempt(*leaf, stage, task)) continue;
    double cost = leaf->cost + stage.hint * remote_slowdown(state_, *leaf, stage);
    choice.offer(leaf, cost, state_.random, rank_of(*leaf, stage, task));
  }
  return choice.empty() ? nullptr : choice.best();
}

bool TaskPlacer::avoids_risky_last_attempt(const Leaf& leaf, const StageInstance& stage,
                                           const Task& task) const {
  if (state_.now - task.enqueued_at >= kLastTryPatience || !is_risky_last_attempt(state_, leaf, stage, task))
    return false;
  const auto& all = state_.leaves.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& other) {
    return is_feasible(*other, stage) && is_reachable(state_, *other) && !state_.is_ejected(*other) &&
           !is_risky_last_attempt(state_, *other, stage, task);
  });
}

bool TaskPlacer::waits_for_local_capacity(const StageInstance& stage, const Task& task) const {
  const double lost_ms = stage.hint * (state_.terms.bounds.far_factor - 1);
  const Millis patience(static_cast<std::int64_t>(lost_ms * kNearPatience));
  if (state_.now >= stage.waiting_since + patience) return false;
  return std::any_of(candidates_.begin(), candidates_.end(), [&](const Leaf* leaf) {
    return !is_remote(*leaf, stage) && !state_.is_ejected(*leaf) && !is_deprioritized_for(*leaf, task) &&
           !avoids_risky_last_attempt(*leaf, stage, task);
  });
}

bool TaskPlacer::place_gang(StageInstance& stage) {
  std::vector<Leaf*> open;
  for (Leaf* leaf : candidates_)
    if (respects_reservation(state_, *leaf, stage) &&
        !avoids_risky_last_attempt(*leaf, stage, stage.tasks.front()))
      open.push_back(leaf);
  GangPlacement plan = place_gang_members(state_, stage, open);
  if (plan.members.empty()) return false;
  RunNumber run = ledger_.next_run_number(stage, stage.tasks.front());
  for (std::size_t i = 0; i < plan.members.size(); ++i)
    ledger_.start(stage, stage.tasks[i], *plan.members[i], run, plan.cost);
  return true;
}

bool TaskPlacer::is_exhausted(const StageInstance& stage) const {
  const std::string& label = stage.spec->requirements();
  return std::any_of(exhausted_.begin(), exhausted_.end(), [&](const Exhausted& shape) {
    return (shape.label.empty() || shape.label == label) && shape.demand.fits_in(stage.demand);
  });
}

void TaskPlacer::note_blocked(StageInstance& stage) {
  bool room = std::any_of(candidates_.begin(), candidates_.end(),
                          [&](const Leaf* leaf) { return stage.demand.fits_in(leaf->free()); });
  if (!room && !stage.spec->gang()) exhausted_.push_back({stage.spec->requirements(), stage.demand});
  preempt_for(stage);
}

void TaskPlacer::preempt_for(StageInstance& stage) {
  if (claims_.needs_reservation(stage)) {
    claims_.claim(stage);
  } else {
    preemption_.preempt_for(stage, candidates_);
  }
}

}  // namespace winchhall::cluster::scheduling
