#include "cluster/scheduler/run_end_estimate.hpp"

#include <algorithm>
#include <chrono>

namespace winchhall::cluster::scheduling {
namespace {

constexpr Millis kLongRunningRemainingTime{3600000};
constexpr double kMinRemainingMs = 100;
constexpr std::uint32_t kMinPercent = 5;  // lower progress says nothing about the remaining time

}  // namespace

TimePoint estimate_run_end(const SchedulerState& state, const Run& run) {
  if (run.stop_revision > 0) return state.now + state.options.bounds.stop;
  if (run.stage == nullptr || run.stage->spec->long_running()) return state.now + kLongRunningRemainingTime;
  const TimePoint started = run.reported ? run.first_reported_at : run.ordered_at;
  const double elapsed_ms = std::chrono::duration<double, std::milli>(state.now - started).count();
  double remaining_ms = run.cost_ms - elapsed_ms;
  if (run.reported && run.percent >= kMinPercent && run.percent <= 100)
    remaining_ms = run.cost_ms * (100 - run.percent) / 100;
  return state.now + Millis(static_cast<std::int64_t>(std::max(remaining_ms, kMinRemainingMs)));
}

}  // namespace winchhall::cluster::scheduling
