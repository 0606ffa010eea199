// Estimates of how long runs still take.
#include "cluster/scheduler/run_end_estimate.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

constexpr Millis kLasting{3600000};
constexpr double kLeastLeftMs = 100;
constexpr std::uint32_t kToldEnough = 5;  // percent, from which the pace is known

}  // namespace

TimePoint expected_end(const SchedulerState& state, const Run& run) {
  if (run.stop_revision > 0) return state.now + state.terms.bounds.stop;
  if (run.stage == nullptr || run.stage->spec->long_running()) return state.now + kLasting;
  TimePoint began = run.listed ? run.listed_at : run.ordered_at;
  double gone = std::chrono::duration<double, std::milli>(state.now - began).count();
  double left = run.cost - gone;
  if (run.listed && run.percent >= kToldEnough && run.percent <= 100)
    left = run.cost * (100 - run.percent) / 100;
  return state.now + Millis(static_cast<std::int64_t>(std::max(left, kLeastLeftMs)));
}

}  // namespace winchhall::cluster::scheduling
