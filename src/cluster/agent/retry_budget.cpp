#include "cluster/agent/retry_budget.hpp"

#include <algorithm>

namespace winchhall::cluster {

void RetryBudget::note_first_try(TimePoint now) {
  refill(now);
  saved_ = std::min(kMostSaved, saved_ + kShare);
}

bool RetryBudget::take(TimePoint now) {
  refill(now);
  if (saved_ < 1) return false;
  saved_ -= 1;
  return true;
}

void RetryBudget::refill(TimePoint now) {
  const std::chrono::duration<double> passed = now - refilled_;
  refilled_ = now;
  saved_ = std::min(kMostSaved, saved_ + passed.count() * kFloorPerSecond);
}

}  // namespace winchhall::cluster
