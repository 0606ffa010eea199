// A budget for retries (token bucket), so that retries do not amplify an overload.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Allows retries at a ratio of the first attempts plus a fixed rate. Not thread-safe.
class RetryBudget {
 public:
  // Retries allowed for each first attempt.
  static constexpr double kRetryRatio = 0.2;
  // Retries allowed each second without any first attempt.
  static constexpr double kMinRetriesPerSecond = 20;
  // Capacity of the bucket: what ten seconds without first attempts bring.
  static constexpr double kMaxTokens = 200;

  explicit RetryBudget(TimePoint now) : refilled_at_(now) {}

  void record_first_attempt(TimePoint now);
  // Takes one retry out of the budget; false: there is none, the caller waits and asks again.
  bool try_acquire(TimePoint now);

 private:
  void refill(TimePoint now);

  TimePoint refilled_at_;
  double tokens_ = kMinRetriesPerSecond;
};

}  // namespace winchhall::cluster
