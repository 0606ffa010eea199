// Gives waiting tasks to leaves: by queue order, each to the eligible leaf with the least summed hinted cost.
#include "cluster/scheduler/placer.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/gang_plan.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMostLooks = 2000;  // waiting stages looked at in one round

// Part of the time lost by running away from the data that a task waits for room near them.
constexpr double kNearPatience = 0.5;

// True if the task failed there and that may be the leaf's fault.
bool is_avoided(const Leaf& leaf, const Task& task) {
  if (!leaf.health.doubtful()) return false;
  return std::find(task.failed_on.begin(), task.failed_on.end(), leaf.id) != task.failed_on.end();
}

// Leaves away from the data go after those near them, leaves on which the task failed before go last.
int rank_of(const Leaf& leaf, const StageInstance& stage, const Task& task) {
  constexpr int kFailedHere = 4;
  constexpr int kSuspect = 2;
  constexpr int kAway = 1;
  int rank = is_avoided(leaf, task) ? kFailedHere : 0;
  if (leaf.health.suspect()) rank += kSuspect;
  if (is_away(leaf, stage)) rank += kAway;
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

void Placer::place_all() {
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
    state_.queue.update_outlook(*stage, state_.now);
    if (is_exhausted(*stage)) {
      find_candidates(*stage);
      make_room(*stage);
    } else {
      place_stage(*stage);
    }
  }
}

void Placer::find_candidates(const StageInstance& stage) {
  candidates_.clear();
  for (const auto& leaf : state_.leaves.all())
    if (may_take_now(state_, *leaf, stage)) candidates_.push_back(leaf.get());
}

void Placer::place_stage(StageInstance& stage) {
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

void Placer::place_singles(StageInstance& stage) {
  for (std::uint32_t index : std::vector<std::uint32_t>(stage.waiting.begin(), stage.waiting.end())) {
    Task& task = stage.tasks[index];
    Leaf* leaf = choose(stage, task);
    if (leaf == nullptr) return;
    if (is_away(*leaf, stage) && waits_for_near_room(stage, task)) return;
    double cost = stage.hint * distance_factor(state_, *leaf, stage);
    ledger_.start(stage, task, *leaf, ledger_.next_run(stage, task), cost);
  }
}

Leaf* Placer::choose(const StageInstance& stage, const Task& task) {
  placement::LeastCost<Leaf*> choice;
  for (Leaf* leaf : candidates_) {
    if (state_.set_aside(*leaf) || places_for(*leaf, stage, leaf->free()) == 0) continue;
    if (!leaves_claim_alone(state_, *leaf, stage) || has_run_of(*leaf, stage, task)) continue;
    if (spares_last_try(*leaf, stage, task)) continue;
    double cost = leaf->cost + stage.hint * distance_factor(state_, *leaf, stage);
    choice.offer(leaf, cost, state_.random, rank_of(*leaf, stage, task));
  }
  return choice.empty() ? nullptr : choice.best();
}

bool Placer::spares_last_try(const Leaf& leaf, const StageInstance& stage, const Task& task) const {
  if (state_.now - task.offered_at >= kLastTryPatience || !risks_last_try(state_, leaf, stage, task))
    return false;
  const auto& all = state_.leaves.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& other) {
    return may_ever_take(*other, stage) && is_heard(state_, *other) && !state_.set_aside(*other) &&
           !risks_last_try(state_, *other, stage, task);
  });
}

bool Placer::waits_for_near_room(const StageInstance& stage, const Task& task) const {
  const double lost_ms = stage.hint * (state_.terms.bounds.far_factor - 1);
  const Millis patience(static_cast<std::int64_t>(lost_ms * kNearPatience));
  if (state_.now >= stage.waiting_since + patience) return false;
  return std::any_of(candidates_.begin(), candidates_.end(), [&](const Leaf* leaf) {
    return !is_away(*leaf, stage) && !state_.set_aside(*leaf) && !is_avoided(*leaf, task) &&
           !spares_last_try(*leaf, stage, task);
  });
}

bool Placer::place_gang(StageInstance& stage) {
  std::vector<Leaf*> open;
  for (Leaf* leaf : candidates_)
    if (leaves_claim_alone(state_, *leaf, stage) && !spares_last_try(*leaf, stage, stage.tasks.front()))
      open.push_back(leaf);
  GangPlan plan = plan_gang(state_, stage, open);
  if (plan.members.empty()) return false;
  RunNumber run = ledger_.next_run(stage, stage.tasks.front());
  for (std::size_t i = 0; i < plan.members.size(); ++i)
    ledger_.start(stage, stage.tasks[i], *plan.members[i], run, plan.cost);
  return true;
}

bool Placer::is_exhausted(const StageInstance& stage) const {
  const std::string& label = stage.spec->requirements();
  return std::any_of(exhausted_.begin(), exhausted_.end(), [&](const Exhausted& shape) {
    return (shape.label.empty() || shape.label == label) && shape.demand.fits_in(stage.demand);
  });
}

void Placer::note_blocked(StageInstance& stage) {
  bool room = std::any_of(candidates_.begin(), candidates_.end(),
                          [&](const Leaf* leaf) { return stage.demand.fits_in(leaf->free()); });
  if (!room && !stage.spec->gang()) exhausted_.push_back({stage.spec->requirements(), stage.demand});
  make_room(stage);
}

void Placer::make_room(StageInstance& stage) {
  if (claims_.needs_much(stage)) {
    claims_.claim(stage);
  } else {
    preemption_.make_room(stage, candidates_);
  }
}

}  // namespace winchhall::cluster::scheduling
