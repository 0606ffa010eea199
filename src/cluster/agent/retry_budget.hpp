// A budget for retries (token bucket), so that retries do not amplify an overload.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Allows retries at a ratio of the first attempts plus a fixed rate. Not thread-safe.
class RetryBudget {
 public:
  // Retries allowed for each first attempt.
  static constexpr double kRetryRatio = 0.2;
  // Retries allowed each second in addition to the ratio, also without any first attempt.
  static constexpr double kMinRetriesPerSecond = 20;
  // Capacity of the bucket: the retries that ten seconds without first attempts add.
  static constexpr double kMaxTokens = 200;

  explicit RetryBudget(TimePoint now) : refilled_at_(now) {}

  // Adds kRetryRatio retries to the budget.
  void record_first_attempt(TimePoint now);
  // Takes one retry out of the budget. False if there is none: the caller must wait and try again.
  bool try_acquire(TimePoint now);

 private:
  void refill(TimePoint now);

  TimePoint refilled_at_;
  // Retries available now.
  double tokens_ = kMinRetriesPerSecond;
};

}  // namespace winchhall::cluster
