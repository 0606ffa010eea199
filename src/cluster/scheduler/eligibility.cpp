// Which leaf may take a task of a stage.
#include "cluster/scheduler/eligibility.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

constexpr Millis kHeardWithin{2500};
constexpr Millis kPlacedWithin{1500};     // age of the newest report
constexpr Millis kGangPlacedWithin{700};  // the same, for members of a gang: they wait for one another
constexpr std::uint32_t kHeartbeatPlacedWithinMs = 2000;
constexpr std::uint32_t kHeartbeatGangPlacedWithinMs = 1000;
constexpr double kClaimMargin = 1.2;  // of an estimate, for a task to end before a claim is used

}  // namespace

bool is_reachable(const SchedulerState& state, const Leaf& leaf) {
  return leaf.reported && state.now - leaf.reported_at <= kHeardWithin &&
         leaf.heartbeat_age_ms <= kFreshHeartbeatMs;
}

bool is_feasible(const Leaf& leaf, const StageInstance& stage) {
  const std::string& label = stage.spec->requirements();
  if (!label.empty() && std::find(leaf.labels.begin(), leaf.labels.end(), label) == leaf.labels.end())
    return false;
  return leaf.adopted && !leaf.draining && !leaf.left && stage.demand.fits_in(leaf.capacity);
}

bool is_schedulable(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage) {
  bool gang = stage.spec->gang();
  if (!is_feasible(leaf, stage) || leaf.unknown_runs > 0) return false;
  if (!leaf.recorded || !state.records.is_durable(leaf.record_change)) return false;
  if (state.now - leaf.reported_at > (gang ? kGangPlacedWithin : kPlacedWithin)) return false;
  if (leaf.heartbeat_age_ms > (gang ? kHeartbeatGangPlacedWithinMs : kHeartbeatPlacedWithinMs)) return false;
  return !state.is_ejected(leaf);
}

std::uint64_t slots_for(const Leaf& leaf, const StageInstance& stage, const Resources& room) {
  std::uint64_t places = room.times(stage.demand);
  if (leaf.health.suspect()) places = std::min<std::uint64_t>(places, 1);
  std::uint32_t bound = stage.spec->anti_affinity();
  if (bound == 0) return places;
  auto there = stage.on_leaf.find(&leaf);
  std::uint32_t taken = there == stage.on_leaf.end() ? 0 : there->second;
  return std::min<std::uint64_t>(places, bound - std::min(bound, taken));
}

bool is_remote(const Leaf& leaf, const StageInstance& stage) {
  const std::string& rack = stage.spec->colocation();
  return !rack.empty() && leaf.rack != rack;
}

double remote_slowdown(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage) {
  return is_remote(leaf, stage) ? state.terms.bounds.far_factor : 1;
}

bool respects_reservation(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage) {
  if (leaf.reserved_for == nullptr || leaf.reserved_for == &stage) return true;
  if (stage.spec->long_running()) return false;
  double ms = stage.hint * remote_slowdown(state, leaf, stage) * kClaimMargin;
  return state.now + Millis(static_cast<std::int64_t>(ms)) <= leaf.reserved_until;
}

bool is_risky_last_attempt(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage,
                           const Task& task) {
  if (!state.ejection_enabled || stage.spec->long_running()) return false;
  const std::uint32_t failures = failures_of(stage, task);
  if (failures == 0 || failures + 1 < stage.job->max_retries()) return false;
  const bool failed_here =
      std::find(task.failed_leaves.begin(), task.failed_leaves.end(), leaf.id) != task.failed_leaves.end();
  return failed_here || leaf.health.unsound();
}

bool may_start(const SchedulerState& state, const Job& job) {
  return !job.restored || state.unsynchronized_leaves.empty();
}

}  // namespace winchhall::cluster::scheduling
