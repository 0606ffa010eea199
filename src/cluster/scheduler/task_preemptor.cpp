#include "cluster/scheduler/task_preemptor.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/run_end_estimate.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// How long a stage waits before runs are preempted for it: runs that lose no work, and any runs.
constexpr Millis kPreemptAfter{60};
constexpr Millis kLoseWorkAfter{500};

bool is_preempted_before(const Run* left, const Run* right) {
  const std::uint32_t left_priority = left->job->terms.priority();
  const std::uint32_t right_priority = right->job->terms.priority();
  if (left_priority != right_priority) return left_priority > right_priority;
  return loses_less_work(*left, *right);
}

}  // namespace

bool may_preempt(const StageInstance& stage, const Run& run, LostWork lost_work) {
  if (run.task == nullptr || run.stop_revision > 0) return false;
  if (run.job->terms.priority() <= stage.job->terms.priority()) return false;
  const wire::Stage& spec = *run.stage->spec;
  if (spec.gang()) return false;
  return lost_work == LostWork::accept || (spec.checkpoints() && !spec.long_running());
}

bool loses_less_work(const Run& left, const Run& right) {
  const bool left_checkpoints = left.stage->spec->checkpoints();
  const bool right_checkpoints = right.stage->spec->checkpoints();
  return left_checkpoints != right_checkpoints ? left_checkpoints : left.ordered_at > right.ordered_at;
}

TaskPreemptor::FutureCapacity TaskPreemptor::future_capacity(const StageInstance& stage, Leaf& leaf) const {
  const TimePoint stop_complete_at = state_.now + state_.options.bounds.stop;
  Resources allocated = leaf.allocated;
  for (const auto& [key, run] : leaf.runs)
    if (estimate_run_end(state_, run) <= stop_complete_at) allocated = allocated.without(run.demand);
  Resources available = leaf.capacity.without(allocated);
  const auto claimed = claimed_.find(&leaf);
  if (claimed != claimed_.end()) available = available.without(claimed->second);
  return {&leaf, available, slots_for(leaf, stage, available)};
}

std::vector<Run*> TaskPreemptor::find_victims(const StageInstance& stage,
                                              const std::vector<FutureCapacity>& capacities) const {
  const bool lose_work = state_.now - stage.waiting_since >= kLoseWorkAfter;
  const LostWork lost_work = lose_work ? LostWork::accept : LostWork::avoid;
  const TimePoint stop_complete_at = state_.now + state_.options.bounds.stop;
  std::vector<Run*> victims;
  for (const FutureCapacity& capacity : capacities)
    for (auto& [key, run] : capacity.leaf->runs)
      if (may_preempt(stage, run, lost_work) && estimate_run_end(state_, run) > stop_complete_at)
        victims.push_back(&run);
  std::sort(victims.begin(), victims.end(), is_preempted_before);
  return victims;
}

void TaskPreemptor::stop_until_covered(const StageInstance& stage, std::vector<FutureCapacity>& capacities,
                                       std::uint64_t required_slots) {
  std::uint64_t slots = 0;
  for (const FutureCapacity& capacity : capacities) slots += capacity.slots;
  for (Run* victim : find_victims(stage, capacities)) {
    if (slots >= required_slots) return;
    const auto found = std::find_if(capacities.begin(), capacities.end(),
                                    [&](const FutureCapacity& entry) { return entry.leaf == victim->leaf; });
    found->available += victim->demand;
    slots -= found->slots;
    found->slots = slots_for(*found->leaf, stage, found->available);
    slots += found->slots;
    runs_.stop_run(*victim);
  }
}

void TaskPreemptor::preempt_for(const StageInstance& stage, const std::vector<Leaf*>& candidates) {
  if (state_.now - stage.waiting_since < kPreemptAfter) return;
  if (!state_.run_counts.has_lower_priority_than(stage.job->terms.priority())) return;
  std::vector<FutureCapacity> capacities;
  capacities.reserve(candidates.size());
  for (Leaf* leaf : candidates) capacities.push_back(future_capacity(stage, *leaf));
  std::uint64_t required_slots = stage.waiting.size();
  stop_until_covered(stage, capacities, required_slots);
  for (const FutureCapacity& capacity : capacities) {
    const std::uint64_t taken = std::min(required_slots, capacity.slots);
    required_slots -= taken;
    Resources& claimed = claimed_[capacity.leaf];
    for (std::uint64_t i = 0; i < taken; ++i) claimed += stage.demand;
  }
}

}  // namespace winchhall::cluster::scheduling
