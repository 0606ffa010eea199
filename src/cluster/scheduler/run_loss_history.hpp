// The latest runs that a leader ceased to expect without a report of their end.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "cluster/scheduler/run.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster::scheduling {

// A run that was given up, and the report or event that led to it.
struct LostRun {
  std::string task;  // name
  RunNumber run = 0;
  RunLossReason reason = RunLossReason::none;
  TimePoint at;
  std::uint64_t session = 0;        // worker-agent process that sent the leaf's newest report
  std::uint64_t report_number = 0;  // number of that report; 0: there was none
};

// Keeps the latest losses, so that a run that a leaf reports after all can be traced to the reason for which
// it had been given up. Its size is bounded; without losses it takes no memory.
class RunLossHistory {
 public:
  void add(LostRun lost) {
    ++counts_[static_cast<std::size_t>(lost.reason)];
    latest_.push_back(std::move(lost));
    if (latest_.size() > kMaxRetained) latest_.pop_front();
  }
  // The latest loss of this run; null if none is kept.
  const LostRun* find(std::string_view task, RunNumber run) const {
    const auto found = std::find_if(latest_.rbegin(), latest_.rend(), [&](const LostRun& lost) {
      return lost.run == run && lost.task == task;
    });
    return found == latest_.rend() ? nullptr : &*found;
  }
  // Number of all losses so far, by RunLossReason.
  const std::array<std::uint64_t, kRunLossReasonCount>& counts() const { return counts_; }

 private:
  static constexpr std::size_t kMaxRetained = 1000;

  std::deque<LostRun> latest_;  // newest last
  std::array<std::uint64_t, kRunLossReasonCount> counts_ = {};
};

}  // namespace winchhall::cluster::scheduling
