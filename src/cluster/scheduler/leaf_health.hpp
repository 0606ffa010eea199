// Detects leaves on which runs fail more often than can be put down to their tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster::scheduling {

// Outlier detection for one leaf, based only on the ends of its runs.
//
// Consecutive failures of runs of different jobs make the leaf suspect. A suspect leaf is ejected (nothing is
// started there) for a time that doubles with every ejection, up to a bound; afterwards it is given one trial
// run at a time, and the first that succeeds makes it healthy again. Consecutive failures of one job count
// once, since the job itself may be at fault. In addition, an exponentially weighted failure rate is kept, so
// that retries can avoid leaves with a higher rate.
class LeafHealth {
 public:
  // Records that a run of `job`, ordered at `started`, failed there or was refused by the leaf.
  void on_failure(const std::string& job, TimePoint started, TimePoint now) {
    trial_in_progress_ = false;
    failure_rate_ += kNewestWeight * (1 - failure_rate_);
    if (job == last_failed_job_ && !is_suspect()) return;
    last_failed_job_ = job;
    if (consecutive_failures_ == 0) first_failure_started_ = started;
    ++consecutive_failures_;
    if (consecutive_failures_ == kSuspectAfterFailures) suspect_since_ = now;
    if (!is_suspect() || now < ejected_until_) return;
    ejected_until_ = now + ejection_time_;
    ejection_time_ = std::min(ejection_time_ * 2, kMaxEjectionTime);
  }
  // Records that a run stalled there. Since that is rarely the fault of the task, the failure rate is high
  // from the first time on.
  void on_stall(const std::string& job, TimePoint started, TimePoint now) {
    on_failure(job, started, now);
    failure_rate_ = std::max(failure_rate_, kHighFailureRate);
  }
  // Records that a run ordered at `started` succeeded. A run that was ordered before those that failed does
  // not make a leaf healthy again, since it says nothing about the leaf's present condition.
  void on_success(TimePoint started) {
    failure_rate_ -= kNewestWeight * failure_rate_;
    if (consecutive_failures_ > 0 && started < first_failure_started_) return;
    consecutive_failures_ = 0;
    last_failed_job_.clear();
    ejection_time_ = kFirstEjectionTime;
    trial_in_progress_ = false;
  }
  // Records that a run ended there in a way that says nothing about the leaf.
  void on_other_end() { trial_in_progress_ = false; }
  // Records that a run was ordered there.
  void on_start() { trial_in_progress_ = is_suspect(); }

  bool is_suspect() const { return consecutive_failures_ >= kSuspectAfterFailures; }
  // When the leaf became suspect; meaningless unless it is.
  TimePoint suspect_since() const { return suspect_since_; }
  // True if more runs fail there than is usual for tasks: a task that failed there should be retried
  // elsewhere.
  bool has_elevated_failure_rate() const { return is_suspect() || failure_rate_ >= kElevatedFailureRate; }
  // True if a run there is likely to fail: a task should not have its last attempt there.
  bool has_high_failure_rate() const { return is_suspect() || failure_rate_ >= kHighFailureRate; }
  // True if nothing should be started there now.
  bool is_ejected(TimePoint now) const {
    return is_suspect() && (now < ejected_until_ || trial_in_progress_);
  }

 private:
  static constexpr std::uint32_t kSuspectAfterFailures = 3;
  static constexpr Millis kFirstEjectionTime{2000};
  static constexpr Millis kMaxEjectionTime{16000};
  static constexpr double kNewestWeight = 0.1;  // weight of the newest end in the failure rate
  static constexpr double kElevatedFailureRate = 0.15;
  static constexpr double kHighFailureRate = 0.3;

  std::uint32_t consecutive_failures_ = 0;
  TimePoint first_failure_started_;  // when the first of the consecutive failed runs was ordered
  TimePoint suspect_since_;
  std::string last_failed_job_;
  TimePoint ejected_until_;
  Millis ejection_time_ = kFirstEjectionTime;  // duration of the next ejection
  bool trial_in_progress_ = false;
  double failure_rate_ = 0;  // exponentially weighted, 0 to 1
};

}  // namespace winchhall::cluster::scheduling
