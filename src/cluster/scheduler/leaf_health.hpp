// Judges by a leaf's own record whether it fails what it starts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::scheduling {

// A leaf on which several jobs in a row failed is set aside, then tried with one task at a time.
class LeafHealth {
 public:
  // A run of this job, ordered at `began`, failed there through its own fault or the leaf's, or was refused.
  void failed(const std::string& job, TimePoint began, TimePoint now) {
    trial_out_ = false;
    failure_rate_ += kRateWeight * (1 - failure_rate_);
    if (job == last_failed_job_ && !suspect()) return;
    last_failed_job_ = job;
    if (failures_in_a_row_ == 0) row_began_ = began;
    ++failures_in_a_row_;
    if (failures_in_a_row_ == kFailures) suspect_since_ = now;
    if (!suspect() || now < aside_until_) return;
    aside_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, kLongestPause);
  }
  // A run stood still there: rarely the task's own fault.
  void stalled(const std::string& job, TimePoint began, TimePoint now) {
    failed(job, began, now);
    failure_rate_ = std::max(failure_rate_, kUnsoundRate);
  }
  // A run ordered at `began` ended well. One that began before those that failed says nothing of the leaf as
  // it is now.
  void succeeded(TimePoint began) {
    failure_rate_ -= kRateWeight * failure_rate_;
    if (failures_in_a_row_ > 0 && began < row_began_) return;
    failures_in_a_row_ = 0;
    last_failed_job_.clear();
    pause_ = kFirstPause;
    trial_out_ = false;
  }
  // Any other end there.
  void ended() { trial_out_ = false; }
  void started() { trial_out_ = suspect(); }

  bool suspect() const { return failures_in_a_row_ >= kFailures; }
  // When the leaf became suspect; meaningless otherwise.
  TimePoint suspect_since() const { return suspect_since_; }
  // True if it fails more than tasks do by themselves: a task that failed there had better go elsewhere.
  bool doubtful() const { return suspect() || failure_rate_ >= kDoubtfulRate; }
  // True if a run there is likely to fail: not for a task that must not fail once more.
  bool unsound() const { return suspect() || failure_rate_ >= kUnsoundRate; }
  // True if nothing should be started there now.
  bool aside(TimePoint now) const { return suspect() && (now < aside_until_ || trial_out_); }

 private:
  static constexpr std::uint32_t kFailures = 3;
  static constexpr Millis kFirstPause{2000};
  static constexpr Millis kLongestPause{16000};
  static constexpr double kRateWeight = 0.1;  // of the newest end
  static constexpr double kDoubtfulRate = 0.15;
  static constexpr double kUnsoundRate = 0.3;

  std::uint32_t failures_in_a_row_ = 0;
  TimePoint row_began_;  // when the first run of the row was ordered
  TimePoint suspect_since_;
  std::string last_failed_job_;
  TimePoint aside_until_;
  Millis pause_ = kFirstPause;
  bool trial_out_ = false;
  double failure_rate_ = 0;  // of the newest ends, forgetting
};

}  // namespace winchhall::cluster::scheduling
