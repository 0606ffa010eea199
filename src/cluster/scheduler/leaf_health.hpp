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
  // A run of this job failed there through its own fault or the leaf's, was refused, or stood still.
  void failed(const std::string& job, TimePoint now) {
    trial_out_ = false;
    if (job == last_failed_job_ && !suspect()) return;
    last_failed_job_ = job;
    ++failures_in_a_row_;
    if (!suspect() || now < aside_until_) return;
    aside_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, kLongestPause);
  }
  void succeeded() {
    failures_in_a_row_ = 0;
    last_failed_job_.clear();
    pause_ = kFirstPause;
    trial_out_ = false;
  }
  // Any other end there.
  void ended() { trial_out_ = false; }
  void started() { trial_out_ = suspect(); }

  bool suspect() const { return failures_in_a_row_ >= kFailures; }
  // True if nothing should be started there now.
  bool aside(TimePoint now) const { return suspect() && (now < aside_until_ || trial_out_); }

 private:
  static constexpr std::uint32_t kFailures = 3;
  static constexpr Millis kFirstPause{2000};
  static constexpr Millis kLongestPause{16000};

  std::uint32_t failures_in_a_row_ = 0;
  std::string last_failed_job_;
  TimePoint aside_until_;
  Millis pause_ = kFirstPause;
  bool trial_out_ = false;
};

}  // namespace winchhall::cluster::scheduling
