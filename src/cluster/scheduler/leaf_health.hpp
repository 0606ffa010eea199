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
// run after another, and the first that succeeds, or that outlasts the failed ones, makes it healthy again.
// Consecutive failures of one job count once, since the job itself may be at fault. In addition, an
// exponentially weighted failure rate is kept, so that retries can avoid leaves with a higher rate.
//
// Invariant: a trial run delays the next one for at most `kTrialInterval`, since it may never end (its task
// lasts, or its order was withdrawn or lost).
class LeafHealth {
 public:
  // Records that a run of `job`, ordered at `started`, failed there or was refused by the leaf.
  void on_failure(const std::string& job, TimePoint started, TimePoint now) {
    next_trial_at_ = now;
    failure_rate_ += kNewestWeight * (1 - failure_rate_);
    longest_failed_run_ = std::max(longest_failed_run_, now - started);
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
    has_stalled_ = true;
  }
  // Records that a run ordered at `started` succeeded. A run that was ordered before those that failed does
  // not make a leaf healthy again, since it says nothing about the leaf's present condition.
  void on_success(TimePoint started) {
    failure_rate_ -= kNewestWeight * failure_rate_;
    if (consecutive_failures_ > 0 && started < first_failure_started_) return;
    clear_failures();
    ejection_time_ = kFirstEjectionTime;
  }
  // Records that a run ordered at `started` is at work there. On a suspect leaf it counts as a successful
  // trial once it has lasted for longer than those that failed. That says nothing where runs have stalled.
  void on_running(TimePoint started, TimePoint now) {
    if (!is_suspect() || has_stalled_ || started < suspect_since_) return;
    if (now - started > std::max<TimePoint::duration>(longest_failed_run_, kMinTrialTime)) clear_failures();
  }
  // Records that a run ended there in a way that says nothing about the leaf.
  void on_other_end(TimePoint now) { next_trial_at_ = now; }
  // Records that a run was ordered there.
  void on_start(TimePoint now) {
    if (is_suspect()) next_trial_at_ = now + kTrialInterval;
  }

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
    return is_suspect() && (now < ejected_until_ || now < next_trial_at_);
  }

 private:
  void clear_failures() {
    consecutive_failures_ = 0;
    last_failed_job_.clear();
    longest_failed_run_ = {};
    has_stalled_ = false;
  }

  static constexpr std::uint32_t kSuspectAfterFailures = 3;
  static constexpr Millis kFirstEjectionTime{2000};
  static constexpr Millis kMaxEjectionTime{16000};
  static constexpr Millis kTrialInterval{1500};  // from the order of a trial run that goes on to the next one
  static constexpr Millis kMinTrialTime{1000};   // a run that lasts for less says nothing about the leaf
  static constexpr double kNewestWeight = 0.1;   // weight of the newest end in the failure rate
  static constexpr double kElevatedFailureRate = 0.15;
  static constexpr double kHighFailureRate = 0.3;

  std::uint32_t consecutive_failures_ = 0;
  TimePoint first_failure_started_;  // when the first of the consecutive failed runs was ordered
  TimePoint suspect_since_;
  std::string last_failed_job_;
  TimePoint ejected_until_;
  Millis ejection_time_ = kFirstEjectionTime;  // duration of the next ejection
  TimePoint next_trial_at_;
  TimePoint::duration longest_failed_run_{};  // of the consecutive failed runs, from order to end
  bool has_stalled_ = false;                  // one of the consecutive failed runs stalled
  double failure_rate_ = 0;                   // exponentially weighted, 0 to 1
};

}  // namespace winchhall::cluster::scheduling
