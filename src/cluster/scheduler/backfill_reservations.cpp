#include "cluster/scheduler/backfill_reservations.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/run_end_estimate.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr int kMaxReservingStages = 2;  // per round
// A task is large for a leaf if fewer than this many such tasks fit there.
constexpr std::uint64_t kSmallTasksPerLeaf = 4;

// Runs are stopped for a stage that has waited for this time and whose reservation starts no sooner than this
// time from now.
constexpr Millis kPreemptForReservationAfter{300};
// After this wait, runs that lose work are stopped, too.
constexpr Millis kLoseWorkForReservationAfter{2000};
constexpr Millis kPreemptionInterval{600};  // least time between two preemptions for one stage
// Assumed for a leaf on which the tasks would not fit even if all its runs ended.
constexpr Millis kNeverAvailable{3600000};

// The number of tasks that a reservation must have slots for.
std::uint64_t slots_required(const StageInstance& stage) {
  return stage.spec->gang() ? stage.tasks.size() : 1;
}

}  // namespace

void BackfillReservations::begin_round() {
  reservations_left_ = kMaxReservingStages;
  for (const auto& leaf : state_.leaves.all()) leaf->reserved_for = nullptr;
}

bool BackfillReservations::needs_reservation(const StageInstance& stage) const {
  if (stage.spec->gang()) return true;
  const Resources combined_demand{stage.demand.cpu * kSmallTasksPerLeaf,
                                  stage.demand.mem_mb * kSmallTasksPerLeaf,
                                  stage.demand.gpu * kSmallTasksPerLeaf};
  return std::any_of(state_.leaves.all().begin(), state_.leaves.all().end(), [&](const auto& leaf) {
    return is_feasible(*leaf, stage) && !combined_demand.fits_in(leaf->capacity);
  });
}

TimePoint BackfillReservations::estimate_available_at(const Leaf& leaf, const StageInstance& stage,
                                                      std::uint64_t slots) const {
  struct Release {
    TimePoint at;
    Resources amount;
  };
  std::vector<Release> releases;
  for (const auto& [key, run] : leaf.runs) releases.push_back({estimate_run_end(state_, run), run.demand});
  std::sort(releases.begin(), releases.end(), [](const Release& a, const Release& b) { return a.at < b.at; });
  Resources allocated = leaf.allocated;
  TimePoint at = state_.now;
  const auto fits = [&] { return leaf.capacity.without(allocated).slots_for(stage.demand) >= slots; };
  for (const Release& release : releases) {
    if (fits()) return at;
    allocated = allocated.without(release.amount);
    at = std::max(at, release.at);
  }
  return fits() ? at : state_.now + kNeverAvailable;
}

std::vector<BackfillReservations::Candidate> BackfillReservations::find_candidates(
    const StageInstance& stage) const {
  std::vector<Candidate> candidates;
  for (const auto& leaf : state_.leaves.all()) {
    if (!is_feasible(*leaf, stage) || !is_reachable(state_, *leaf) || state_.is_ejected(*leaf)) continue;
    if (leaf->reserved_for != nullptr) continue;
    const std::uint64_t slots =
        std::min<std::uint64_t>(slots_for(*leaf, stage, leaf->capacity), stage.waiting.size());
    if (slots == 0) continue;
    const std::uint64_t required = stage.spec->gang() ? slots : 1;
    candidates.push_back({leaf.get(), required, estimate_available_at(*leaf, stage, required)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.available_at < b.available_at; });
  return candidates;
}

std::vector<BackfillReservations::Candidate> BackfillReservations::choose_leaves(
    const StageInstance& stage) const {
  const bool one_rack = stage.spec->gang() && stage.spec->same_rack();
  const std::uint64_t required = slots_required(stage);
  // Candidates are sorted by the time at which they become available, so the first group that has enough
  // slots is the one that is available first.
  std::map<std::string, std::vector<Candidate>> groups;  // by rack, or all in one
  for (const Candidate& candidate : find_candidates(stage)) {
    std::vector<Candidate>& group = groups[one_rack ? candidate.leaf->rack : std::string()];
    group.push_back(candidate);
    std::uint64_t slots = 0;
    for (const Candidate& member : group) slots += member.slots;
    if (slots >= required) return group;
  }
  return {};
}

void BackfillReservations::reserve_for(StageInstance& stage) {
  if (reservations_left_ == 0 || stage.waiting.empty()) return;
  const std::vector<Candidate> chosen = choose_leaves(stage);
  if (chosen.empty()) return;
  --reservations_left_;
  for (const Candidate& candidate : chosen) {
    candidate.leaf->reserved_for = &stage;
    candidate.leaf->reserved_until = chosen.back().available_at;
  }
  preempt_for(stage, chosen);
}

void BackfillReservations::preempt_for(StageInstance& stage, const std::vector<Candidate>& chosen) {
  const Millis waited = std::chrono::duration_cast<Millis>(state_.now - stage.waiting_since);
  if (waited < kPreemptForReservationAfter || state_.now - stage.preempted_at < kPreemptionInterval) return;
  if (chosen.back().available_at - state_.now < kPreemptForReservationAfter) return;
  const LostWork lost_work = waited >= kLoseWorkForReservationAfter ? LostWork::accept : LostWork::avoid;
  std::uint64_t required = slots_required(stage);
  for (const Candidate& candidate : chosen) {
    const std::uint64_t slots = std::min(candidate.slots, required);
    if (slots == 0) break;
    required -= slots;
    if (!stop_for_slots(stage, *candidate.leaf, slots, lost_work)) return;
    stage.preempted_at = state_.now;
  }
}

bool BackfillReservations::stop_for_slots(StageInstance& stage, Leaf& leaf, std::uint64_t slots,
                                          LostWork lost_work) {
  Resources allocated = leaf.allocated;  // without runs that are stopping
  std::vector<Run*> victims;
  for (auto& [key, run] : leaf.runs) {
    if (run.stop_revision > 0) allocated = allocated.without(run.demand);
    if (may_preempt(stage, run, lost_work)) victims.push_back(&run);
  }
  std::sort(victims.begin(), victims.end(),
            [](const Run* left, const Run* right) { return loses_less_work(*left, *right); });
  const auto fits = [&] { return leaf.capacity.without(allocated).slots_for(stage.demand) >= slots; };
  std::vector<Run*> chosen;
  for (Run* victim : victims) {
    if (fits()) break;
    allocated = allocated.without(victim->demand);
    chosen.push_back(victim);
  }
  if (!fits()) return false;
  for (Run* victim : chosen) runs_.stop_run(*victim);
  return true;
}

}  // namespace winchhall::cluster::scheduling
