// Bounds retries to a share of the first tries plus a floor, so that retries don't feed an overload.
#pragma once

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class RetryBudget {
 public:
  // Retries allowed for each first try, and a second without any.
  static constexpr double kRetryRatio = 0.2;
  static constexpr double kMinRetriesPerSecond = 20;
  // Retries that may be saved up: the floor's of ten seconds.
  static constexpr double kMaxTokens = 200;

  explicit RetryBudget(TimePoint now) : refilled_at_(now) {}

  void record_first_attempt(TimePoint now);
  // Takes one retry; false: none is left, wait and ask again.
  bool try_acquire(TimePoint now);

 private:
  void refill(TimePoint now);

  TimePoint refilled_at_;
  double tokens_ = kMinRetriesPerSecond;
};

}  // namespace winchhall::cluster
