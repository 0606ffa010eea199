// Keeps leaves free for stages that need much room at once, and makes room for them where priority allows it.
#include "cluster/scheduler/backfill_reservations.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/gang_placement.hpp"
#include "cluster/scheduler/run_end_estimate.hpp"
#include "cluster/scheduler/task_preemptor.hpp"

namespace winchhall::cluster::scheduling {
namespace {

constexpr int kMostClaims = 2;           // stages in a round
constexpr std::uint64_t kSmallPart = 4;  // a task of less than this part of a leaf finds room by itself
constexpr Millis kPreemptAfter{300};
constexpr Millis kPreemptUnsavedAfter{2000};
constexpr Millis kPreemptPause{600};  // between two rounds of stops for one stage
constexpr Millis kUnknownEnd{3600000};

}  // namespace

void BackfillReservations::begin_round() {
  claims_left_ = kMostClaims;
  for (const auto& leaf : state_.leaves.all()) leaf->reserved_for = nullptr;
}

bool BackfillReservations::needs_reservation(const StageInstance& stage) const {
  if (stage.spec->gang()) return true;
  Resources large{stage.demand.cpu * kSmallPart, stage.demand.mem_mb * kSmallPart,
                  stage.demand.gpu * kSmallPart};
  return std::any_of(state_.leaves.all().begin(), state_.leaves.all().end(), [&](const auto& leaf) {
    return is_feasible(*leaf, stage) && !large.fits_in(leaf->capacity);
  });
}

TimePoint BackfillReservations::free_at(const Leaf& leaf, const StageInstance& stage,
                                        std::uint64_t places) const {
  struct Release {
    TimePoint at;
    Resources amount;
  };
  std::vector<Release> releases;
  for (const auto& [key, run] : leaf.runs) releases.push_back({expected_end(state_, run), run.demand});
  std::sort(releases.begin(), releases.end(), [](const Release& a, const Release& b) { return a.at < b.at; });
  Resources reserved = leaf.reserved;
  TimePoint at = state_.now;
  for (const Release& release : releases) {
    if (leaf.capacity.without(reserved).times(stage.demand) >= places) return at;
    reserved = reserved.without(release.amount);
    at = std::max(at, release.at);
  }
  return leaf.capacity.without(reserved).times(stage.demand) >= places ? at : state_.now + kUnknownEnd;
}

std::vector<BackfillReservations::Prospect> BackfillReservations::prospects(
    const StageInstance& stage) const {
  std::vector<Prospect> all;
  for (const auto& leaf : state_.leaves.all()) {
    if (!is_feasible(*leaf, stage) || !is_reachable(state_, *leaf) || state_.is_ejected(*leaf)) continue;
    if (leaf->reserved_for != nullptr) continue;
    std::uint64_t places =
        std::min<std::uint64_t>(slots_for(*leaf, stage, leaf->capacity), stage.waiting.size());
    if (places == 0) continue;
    std::uint64_t wanted = stage.spec->gang() ? places : 1;
    all.push_back({leaf.get(), wanted, free_at(*leaf, stage, wanted)});
  }
  std::sort(all.begin(), all.end(),
            [](const Prospect& a, const Prospect& b) { return a.free_at < b.free_at; });
  return all;
}

void BackfillReservations::claim(StageInstance& stage) {
  if (claims_left_ == 0 || stage.waiting.empty()) return;
  std::vector<Prospect> all = prospects(stage);
  std::vector<Prospect> best;
  bool one_rack = stage.spec->gang() && stage.spec->same_rack();
  std::uint64_t wanted = stage.spec->gang() ? stage.tasks.size() : 1;
  // Prospects come in order of time: the group that is complete first is the one that is free first.
  std::map<std::string, std::vector<Prospect>> groups;
  for (const Prospect& prospect : all) {
    std::vector<Prospect>& group = groups[one_rack ? prospect.leaf->rack : std::string()];
    group.push_back(prospect);
    std::uint64_t places = 0;
    for (const Prospect& member : group) places += member.places;
    if (places < wanted) continue;
    best = group;
    break;
  }
  if (best.empty()) return;
  --claims_left_;
  for (const Prospect& prospect : best) {
    prospect.leaf->reserved_for = &stage;
    prospect.leaf->reserved_until = best.back().free_at;
  }
  preempt_for(stage, best);
}

void BackfillReservations::preempt_for(StageInstance& stage, const std::vector<Prospect>& chosen) {
  Millis waited = std::chrono::duration_cast<Millis>(state_.now - stage.waiting_since);
  if (waited < kPreemptAfter || state_.now - stage.preempted_at < kPreemptPause) return;
  if (chosen.back().free_at - state_.now < kPreemptAfter) return;
  std::uint64_t wanted = stage.spec->gang() ? stage.tasks.size() : 1;
  for (const Prospect& prospect : chosen) {
    std::uint64_t places = std::min(prospect.places, wanted);
    if (places == 0) break;
    wanted -= places;
    if (!stop_for_slots(stage, *prospect.leaf, places, waited >= kPreemptUnsavedAfter)) return;
    stage.preempted_at = state_.now;
  }
}

bool BackfillReservations::stop_for_slots(StageInstance& stage, Leaf& leaf, std::uint64_t places,
                                          bool unsaved_too) {
  Resources reserved = leaf.reserved;
  std::vector<Run*> victims;
  for (auto& [key, run] : leaf.runs) {
    if (run.stop_revision > 0) reserved = reserved.without(run.demand);
    if (may_preempt(stage, run, unsaved_too)) victims.push_back(&run);
  }
  // Those with saved work first, then those that have done least.
  std::sort(victims.begin(), victims.end(), [](const Run* a, const Run* b) {
    bool a_saves = a->stage->spec->checkpoints();
    bool b_saves = b->stage->spec->checkpoints();
    return a_saves != b_saves ? a_saves : a->ordered_at > b->ordered_at;
  });
  std::vector<Run*> chosen;
  for (Run* victim : victims) {
    if (leaf.capacity.without(reserved).times(stage.demand) >= places) break;
    reserved = reserved.without(victim->demand);
    chosen.push_back(victim);
  }
  if (leaf.capacity.without(reserved).times(stage.demand) < places) return false;
  for (Run* victim : chosen) ledger_.stop(*victim);
  return true;
}

}  // namespace winchhall::cluster::scheduling
