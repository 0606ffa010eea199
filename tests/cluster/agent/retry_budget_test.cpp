// The retry budget: a ratio of the first attempts plus a minimum rate.
#include "cluster/agent/retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace winchhall::cluster;

namespace {

// Empties the budget and returns the number of retries that were in it.
unsigned acquire_all(RetryBudget& budget, TimePoint now) {
  unsigned acquired = 0;
  while (budget.try_acquire(now)) ++acquired;
  return acquired;
}

}  // namespace

TEST_CASE("each second allows retries at the minimum rate") {
  const TimePoint start{std::chrono::hours(1)};
  RetryBudget budget(start);
  acquire_all(budget, start);
  CHECK(acquire_all(budget, start + Millis(1000)) == 20);
}

TEST_CASE("five first attempts allow one retry") {
  const TimePoint start{std::chrono::hours(1)};
  RetryBudget budget(start);
  acquire_all(budget, start);
  for (int count = 0; count < 50; ++count) budget.record_first_attempt(start);
  const unsigned acquired = acquire_all(budget, start);
  CHECK(acquired >= 9);
  CHECK(acquired <= 10);
}

TEST_CASE("the unused budget is bounded") {
  const TimePoint start{std::chrono::hours(1)};
  RetryBudget budget(start);
  CHECK(acquire_all(budget, start + std::chrono::hours(1)) == 200);
}
