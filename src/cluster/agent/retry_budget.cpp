#include "cluster/agent/retry_budget.hpp"

#include <algorithm>

namespace winchhall::cluster {

void RetryBudget::record_first_attempt(TimePoint now) {
  refill(now);
  tokens_ = std::min(kMaxTokens, tokens_ + kRetryRatio);
}

bool RetryBudget::try_acquire(TimePoint now) {
  refill(now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void RetryBudget::refill(TimePoint now) {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  tokens_ = std::min(kMaxTokens, tokens_ + elapsed.count() * kMinRetriesPerSecond);
}

}  // namespace winchhall::cluster
