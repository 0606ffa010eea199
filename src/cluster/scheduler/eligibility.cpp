#include "cluster/scheduler/eligibility.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

// Greatest allowed age of a leaf's newest report, and of its newest heartbeat at the time of that report.
constexpr Millis kReachableReportAge{2500};
constexpr Millis kSchedulableReportAge{1500};
constexpr Millis kGangSchedulableReportAge{700};
constexpr std::uint32_t kSchedulableHeartbeatAgeMs = 2000;
constexpr std::uint32_t kGangSchedulableHeartbeatAgeMs = 1000;

// A task may start on a reserved leaf if this multiple of its estimate is left before the reservation starts.
constexpr double kReservationMargin = 1.2;

}  // namespace

bool is_reachable(const SchedulerState& state, const Leaf& leaf) {
  return leaf.reported && state.now - leaf.reported_at <= kReachableReportAge &&
         leaf.heartbeat_age_ms <= kMaxLeaseHeartbeatAgeMs;
}

bool is_feasible(const Leaf& leaf, const StageInstance& stage) {
  const std::string& label = stage.spec->requirements();
  if (!label.empty() && std::find(leaf.labels.begin(), leaf.labels.end(), label) == leaf.labels.end())
    return false;
  return leaf.synchronized && !leaf.draining && !leaf.deregistered && stage.demand.fits_in(leaf.capacity);
}

bool is_schedulable(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage) {
  if (!is_feasible(leaf, stage) || leaf.runs_with_unknown_demand > 0) return false;
  if (!leaf.has_record || !state.records.is_durable(leaf.record_batch)) return false;
  const bool gang = stage.spec->gang();
  const Millis max_report_age = gang ? kGangSchedulableReportAge : kSchedulableReportAge;
  const std::uint32_t max_heartbeat_age_ms =
      gang ? kGangSchedulableHeartbeatAgeMs : kSchedulableHeartbeatAgeMs;
  if (state.now - leaf.reported_at > max_report_age) return false;
  if (leaf.heartbeat_age_ms > max_heartbeat_age_ms) return false;
  return !state.is_ejected(leaf);
}

std::uint64_t slots_for(const Leaf& leaf, const StageInstance& stage, const Resources& available) {
  std::uint64_t slots = available.slots_for(stage.demand);
  if (leaf.health.is_suspect()) slots = std::min<std::uint64_t>(slots, 1);
  const std::uint32_t max_per_leaf = stage.spec->anti_affinity();
  if (max_per_leaf == 0) return slots;
  const auto found = stage.runs_by_leaf.find(&leaf);
  const std::uint32_t runs = found == stage.runs_by_leaf.end() ? 0 : found->second;
  return std::min<std::uint64_t>(slots, max_per_leaf - std::min(max_per_leaf, runs));
}

bool is_remote(const Leaf& leaf, const StageInstance& stage) {
  const std::string& rack = stage.spec->colocation();
  return !rack.empty() && leaf.rack != rack;
}

double estimate_ms_on(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage) {
  return stage.estimate_ms * (is_remote(leaf, stage) ? state.options.bounds.far_factor : 1);
}

double remote_penalty_ms(const SchedulerState& state, const StageInstance& stage) {
  return stage.estimate_ms * (state.options.bounds.far_factor - 1);
}

bool respects_reservation(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage) {
  if (leaf.reserved_for == nullptr || leaf.reserved_for == &stage) return true;
  if (stage.spec->long_running()) return false;
  const double ms = estimate_ms_on(state, leaf, stage) * kReservationMargin;
  return state.now + Millis(static_cast<std::int64_t>(ms)) <= leaf.reserved_until;
}

bool has_failed_on(const Leaf& leaf, const Task& task) {
  return std::find(task.failed_leaves.begin(), task.failed_leaves.end(), leaf.id) != task.failed_leaves.end();
}

bool is_risky_last_attempt(const SchedulerState& state, const Leaf& leaf, const StageInstance& stage,
                           const Task& task) {
  if (!state.ejection_enabled || stage.spec->long_running()) return false;
  const std::uint32_t failures = count_failed_runs(stage, task);
  if (failures == 0 || failures + 1 < stage.job->max_retries()) return false;
  return has_failed_on(leaf, task) || leaf.health.has_high_failure_rate();
}

bool may_start_tasks(const SchedulerState& state, const Job& job) {
  return !job.restored || state.unsynchronized_leaves.empty();
}

}  // namespace winchhall::cluster::scheduling
