// Stops work of less priority where small tasks wait and too little room will come free by itself.
#include "cluster/scheduler/task_preemptor.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/run_end_estimate.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr Millis kAfter{60};          // waiting for less, a stage lets others run on
constexpr Millis kUnsavedAfter{500};  // waiting for longer, work that is not saved may be lost

// Least priority first, then work that is saved, then work that has done least. Tasks that last lose no work,
// but their job does without them while they wait.
bool is_better_victim(const Run* left, const Run* right) {
  const std::uint32_t left_priority = left->job->terms.priority();
  const std::uint32_t right_priority = right->job->terms.priority();
  if (left_priority != right_priority) return left_priority > right_priority;
  const bool left_saves = left->stage->spec->checkpoints();
  const bool right_saves = right->stage->spec->checkpoints();
  if (left_saves != right_saves) return left_saves;
  return left->ordered_at > right->ordered_at;
}

}  // namespace

bool may_preempt(const StageInstance& stage, const Run& run, bool unsaved_too) {
  if (run.task == nullptr || run.stop_revision > 0) return false;
  if (run.job->terms.priority() <= stage.job->terms.priority()) return false;
  const wire::Stage& spec = *run.stage->spec;
  if (spec.gang()) return false;
  return unsaved_too || (spec.checkpoints() && !spec.long_running());
}

TaskPreemptor::Prospect TaskPreemptor::prospect_of(const StageInstance& stage, Leaf& leaf) const {
  const TimePoint soon = state_.now + state_.terms.bounds.stop;
  Resources reserved = leaf.reserved;
  for (const auto& [key, run] : leaf.runs)
    if (expected_end(state_, run) <= soon) reserved = reserved.without(run.demand);
  Resources room = leaf.capacity.without(reserved);
  const auto promised = promised_.find(&leaf);
  if (promised != promised_.end()) room = room.without(promised->second);
  return {&leaf, room, slots_for(leaf, stage, room)};
}

std::vector<Run*> TaskPreemptor::victims_for(const StageInstance& stage,
                                             const std::vector<Prospect>& prospects) const {
  const bool unsaved_too = state_.now - stage.waiting_since >= kUnsavedAfter;
  const TimePoint soon = state_.now + state_.terms.bounds.stop;
  std::vector<Run*> victims;
  for (const Prospect& prospect : prospects)
    for (auto& [key, run] : prospect.leaf->runs)
      if (may_preempt(stage, run, unsaved_too) && expected_end(state_, run) > soon) victims.push_back(&run);
  std::sort(victims.begin(), victims.end(), is_better_victim);
  return victims;
}

void TaskPreemptor::stop_until_covered(const StageInstance& stage, std::vector<Prospect>& prospects,
                                       std::uint64_t wanted) {
  std::uint64_t places = 0;
  for (const Prospect& prospect : prospects) places += prospect.places;
  for (Run* victim : victims_for(stage, prospects)) {
    if (places >= wanted) return;
    const auto found = std::find_if(prospects.begin(), prospects.end(),
                                    [&](const Prospect& entry) { return entry.leaf == victim->leaf; });
    found->room += victim->demand;
    places -= found->places;
    found->places = slots_for(*found->leaf, stage, found->room);
    places += found->places;
    ledger_.stop(*victim);
  }
}

void TaskPreemptor::preempt_for(const StageInstance& stage, const std::vector<Leaf*>& candidates) {
  if (state_.now - stage.waiting_since < kAfter) return;
  if (!state_.use.has_below(stage.job->terms.priority())) return;
  std::vector<Prospect> prospects;
  prospects.reserve(candidates.size());
  for (Leaf* leaf : candidates) prospects.push_back(prospect_of(stage, *leaf));
  std::uint64_t wanted = stage.waiting.size();
  stop_until_covered(stage, prospects, wanted);
  for (const Prospect& prospect : prospects) {
    const std::uint64_t taken = std::min(wanted, prospect.places);
    wanted -= taken;
    Resources& promised = promised_[prospect.leaf];
    for (std::uint64_t i = 0; i < taken; ++i) promised += stage.demand;
  }
}

}  // namespace winchhall::cluster::scheduling
