#include "cluster/scheduler/task_placer.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/gang_placement.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMaxStagesPerRound = 2000;
// A task waits for capacity near its data for this fraction of the time that it would lose on a remote leaf.
constexpr double kLocalityWaitFactor = 0.5;
constexpr Millis kLastAttemptWait{2000};  // longest wait for a leaf on which a last attempt isn't risky

// True if the task failed there and the leaf may be at fault.
bool is_deprioritized_for(const Leaf& leaf, const Task& task) {
  return leaf.health.has_elevated_failure_rate() && has_failed_on(leaf, task);
}

// Leaves of a lower rank are used first, regardless of load.
int rank_of(const Leaf& leaf, const StageInstance& stage, const Task& task) {
  constexpr int kDeprioritized = 4;
  constexpr int kSuspect = 2;
  constexpr int kRemote = 1;
  int rank = is_deprioritized_for(leaf, task) ? kDeprioritized : 0;
  if (leaf.health.is_suspect()) rank += kSuspect;
  if (is_remote(leaf, stage)) rank += kRemote;
  return rank;
}

// True if any run of the task may exist on the leaf, including one that was detached from it: a leaf executes
// at most one run of a task at a time.
bool has_run_of(const Leaf& leaf, const StageInstance& stage, const Task& task) {
  if (!stage.runs_by_leaf.contains(&leaf)) return false;
  const std::string name = format_task_name(stage.task_name(task.index));
  return std::any_of(leaf.runs.begin(), leaf.runs.end(),
                     [&](const auto& entry) { return entry.first.task == name; });
}

}  // namespace

void TaskPlacer::place_waiting_tasks() {
  unsatisfied_.clear();
  reservations_.begin_round();
  preemptor_.begin_round();
  // A copy, because placing a stage changes the queue.
  std::vector<StageInstance*> stages;
  stages.reserve(std::min(kMaxStagesPerRound, state_.queue.stages().size()));
  for (const auto& [key, stage] : state_.queue.stages()) {
    if (stages.size() == kMaxStagesPerRound) break;
    stages.push_back(stage);
  }
  for (StageInstance* stage : stages) {
    if (!stage->queued || !may_start_tasks(state_, *stage->job)) continue;
    state_.queue.update_deadline_status(*stage, state_.now);
    if (is_known_not_to_fit(*stage)) {
      find_candidates(*stage);
      free_capacity_for(*stage);
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
      place_tasks(stage);
    }
  }
  if (stage.queued) handle_unplaced(stage);
}

void TaskPlacer::place_tasks(StageInstance& stage) {
  for (std::uint32_t index : std::vector<std::uint32_t>(stage.waiting.begin(), stage.waiting.end())) {
    Task& task = stage.tasks[index];
    Leaf* leaf = choose_leaf(stage, task);
    if (leaf == nullptr) return;
    if (is_remote(*leaf, stage) && waits_for_local_capacity(stage, task)) return;
    const double cost_ms = estimate_ms_on(state_, *leaf, stage);
    runs_.start_run(stage, task, *leaf, runs_.next_run_number(stage, task), cost_ms);
  }
}

Leaf* TaskPlacer::choose_leaf(const StageInstance& stage, const Task& task) {
  placement::LeastCost<Leaf*> choice;
  for (Leaf* leaf : candidates_) {
    // Ejection may have begun with a run that was ordered earlier in this round.
    if (state_.is_ejected(*leaf) || slots_for(*leaf, stage, leaf->available()) == 0) continue;
    if (!respects_reservation(state_, *leaf, stage) || has_run_of(*leaf, stage, task)) continue;
    if (avoids_risky_last_attempt(*leaf, stage, task)) continue;
    const double cost_ms = leaf->load_ms + estimate_ms_on(state_, *leaf, stage);
    choice.offer(leaf, cost_ms, state_.random, rank_of(*leaf, stage, task));
  }
  return choice.empty() ? nullptr : choice.best();
}

bool TaskPlacer::avoids_risky_last_attempt(const Leaf& leaf, const StageInstance& stage,
                                           const Task& task) const {
  if (state_.now - task.enqueued_at >= kLastAttemptWait) return false;
  if (!is_risky_last_attempt(state_, leaf, stage, task)) return false;
  const auto& leaves = state_.leaves.all();
  return std::any_of(leaves.begin(), leaves.end(), [&](const auto& other) {
    return is_feasible(*other, stage) && is_reachable(state_, *other) && !state_.is_ejected(*other) &&
           !is_risky_last_attempt(state_, *other, stage, task);
  });
}

bool TaskPlacer::waits_for_local_capacity(const StageInstance& stage, const Task& task) const {
  const double wait_ms = remote_penalty_ms(state_, stage) * kLocalityWaitFactor;
  if (state_.now >= stage.waiting_since + Millis(static_cast<std::int64_t>(wait_ms))) return false;
  return std::any_of(candidates_.begin(), candidates_.end(), [&](const Leaf* leaf) {
    return !is_remote(*leaf, stage) && !state_.is_ejected(*leaf) && !is_deprioritized_for(*leaf, task) &&
           !avoids_risky_last_attempt(*leaf, stage, task);
  });
}

bool TaskPlacer::place_gang(StageInstance& stage) {
  std::vector<Leaf*> usable;
  for (Leaf* leaf : candidates_) {
    if (!respects_reservation(state_, *leaf, stage)) continue;
    if (!avoids_risky_last_attempt(*leaf, stage, stage.tasks.front())) usable.push_back(leaf);
  }
  const GangPlacement placement = place_gang_members(state_, stage, usable);
  if (placement.members.empty()) return false;
  const RunNumber number = runs_.next_run_number(stage, stage.tasks.front());
  for (std::size_t i = 0; i < placement.members.size(); ++i)
    runs_.start_run(stage, stage.tasks[i], *placement.members[i], number, placement.cost_ms);
  return true;
}

bool TaskPlacer::is_known_not_to_fit(const StageInstance& stage) const {
  const std::string& label = stage.spec->requirements();
  return std::any_of(unsatisfied_.begin(), unsatisfied_.end(), [&](const UnsatisfiedDemand& entry) {
    return (entry.label.empty() || entry.label == label) && entry.demand.fits_in(stage.demand);
  });
}

void TaskPlacer::handle_unplaced(StageInstance& stage) {
  const bool has_capacity = std::any_of(candidates_.begin(), candidates_.end(), [&](const Leaf* leaf) {
    return stage.demand.fits_in(leaf->available());
  });
  if (!has_capacity && !stage.spec->gang())
    unsatisfied_.push_back({stage.spec->requirements(), stage.demand});
  free_capacity_for(stage);
}

void TaskPlacer::free_capacity_for(StageInstance& stage) {
  if (reservations_.needs_reservation(stage)) {
    reservations_.reserve_for(stage);
  } else {
    preemptor_.preempt_for(stage, candidates_);
  }
}

}  // namespace winchhall::cluster::scheduling
