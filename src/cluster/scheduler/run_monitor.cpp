#include "cluster/scheduler/run_monitor.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

#include "cluster/scheduler/eligibility.hpp"
#include "cluster/scheduler/run_end_estimate.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// Time until a deregistered leaf has certainly ended: without an acknowledgement of its Deregister, a leaf
// continues for some seconds.
constexpr Millis kDeregisteredLeafExitDelay{4000};
// A run has stalled after this time without a change of its progress percentage, or after this fraction of
// its estimated duration if that is longer.
constexpr Millis kMinStallTime{3000};
constexpr double kStallEstimateFraction = 0.3;
constexpr Millis kGangAssemblyTime{3500};  // until the members of a gang have connected to one another
// A long-running task is moved when its draining leaf has less time left than this.
constexpr std::uint32_t kEvacuateLongRunningBelowMs = 2500;
constexpr double kMaxEjectedFraction = 0.5;  // if more of all leaves qualify, none is ejected

double elapsed_ms(TimePoint from, TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace

void RunMonitor::check() {
  update_ejection_enabled();
  // A copy, because leaves whose incarnation has ended are erased.
  std::vector<Leaf*> leaves;
  for (const auto& leaf : state_.leaves.all()) leaves.push_back(leaf.get());
  for (Leaf* leaf : leaves) check_leaf(*leaf);
}

void RunMonitor::update_ejection_enabled() {
  const auto& leaves = state_.leaves.all();
  const auto ejected = std::count_if(leaves.begin(), leaves.end(),
                                     [&](const auto& leaf) { return leaf->health.is_ejected(state_.now); });
  state_.ejection_enabled =
      static_cast<double>(ejected) <= kMaxEjectedFraction * static_cast<double>(leaves.size());
}

void RunMonitor::check_leaf(Leaf& leaf) {
  if (leaf.deregistered && state_.now - leaf.deregistered_at >= kDeregisteredLeafExitDelay) {
    ends_.on_incarnation_ended(leaf);
    return;
  }
  if (is_reachable(state_, leaf) || state_.now <= leaf.lease_expires_at) {
    check_runs(leaf);
    return;
  }
  const bool lease_matters =
      leaf.has_record || std::any_of(leaf.runs.begin(), leaf.runs.end(),
                                     [](const auto& entry) { return entry.second.task != nullptr; });
  if (lease_matters) ends_.on_lease_expired(leaf);
}

void RunMonitor::check_runs(Leaf& leaf) {
  // Keys, because stopping one member of a gang may remove others on the same leaf.
  std::vector<RunKey> to_stop;
  for (auto& [key, run] : leaf.runs) {
    if (run.percent > 0 && run.percent < 100) progress_seen_ = true;
    if (run.task == nullptr || run.stop_revision > 0 || !run.reported) continue;
    leaf.health.on_running(run.ordered_at, state_.now);
    const bool stalled = is_stalled(run);
    if (!stalled && !must_evacuate(leaf, run) && !must_protect_last_attempt(leaf, run)) continue;
    if (stalled) {
      leaf.health.on_stall(run.job->id, run.ordered_at, state_.now);
      run.task->failed_leaves.push_back(leaf.id);
    }
    to_stop.push_back(key);
  }
  for (const RunKey& key : to_stop) {
    auto found = leaf.runs.find(RunKeyView(key));
    if (found == leaf.runs.end()) continue;
    StageInstance& stage = *found->second.stage;
    runs_.stop_run(found->second);
    if (stage.spec->gang()) ends_.stop_gang_run(stage, key.run);
  }
}

bool RunMonitor::is_stalled(const Run& run) const {
  const wire::Stage& spec = *run.stage->spec;
  if (!progress_seen_ || spec.long_running() || run.percent >= 100 || !is_reachable(state_, *run.leaf))
    return false;
  double limit_ms =
      std::max(static_cast<double>(kMinStallTime.count()), run.cost_ms * kStallEstimateFraction);
  if (spec.gang()) limit_ms += static_cast<double>(kGangAssemblyTime.count());
  return elapsed_ms(run.progressed_at, state_.now) > limit_ms;
}

bool RunMonitor::must_evacuate(const Leaf& leaf, const Run& run) const {
  if (!leaf.draining || leaf.deregistered) return false;
  const wire::Stage& spec = *run.stage->spec;
  const double remaining_ms = leaf.drain_remaining_ms - elapsed_ms(leaf.reported_at, state_.now);
  if (spec.long_running()) return remaining_ms < kEvacuateLongRunningBelowMs;
  if (!spec.checkpoints()) return false;
  return elapsed_ms(state_.now, estimate_run_end(state_, run)) > remaining_ms;
}

bool RunMonitor::must_protect_last_attempt(const Leaf& leaf, const Run& run) const {
  // A run that was ordered since is the leaf's trial run and is allowed to finish there.
  if (!leaf.health.is_suspect() || run.ordered_at >= leaf.health.suspect_since()) return false;
  return is_risky_last_attempt(state_, leaf, *run.stage, *run.task);
}

}  // namespace winchhall::cluster::scheduling
