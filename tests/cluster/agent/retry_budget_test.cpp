// Retries are bounded to a share of the first tries plus a floor.
#include "cluster/agent/retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace winchhall::cluster;

namespace {

unsigned take_all(RetryBudget& budget, TimePoint now) {
  unsigned taken = 0;
  while (budget.try_acquire(now)) ++taken;
  return taken;
}

}  // namespace

TEST_CASE("a second brings the floor's retries") {
  const TimePoint start{std::chrono::hours(1)};
  RetryBudget budget(start);
  take_all(budget, start);
  CHECK(take_all(budget, start + Millis(1000)) == 20);
}

TEST_CASE("five first tries bring one retry") {
  const TimePoint start{std::chrono::hours(1)};
  RetryBudget budget(start);
  take_all(budget, start);
  for (int count = 0; count < 50; ++count) budget.record_first_attempt(start);
  const unsigned taken = take_all(budget, start);
  CHECK(taken >= 9);
  CHECK(taken <= 10);
}

TEST_CASE("what is saved up is bounded") {
  const TimePoint start{std::chrono::hours(1)};
  RetryBudget budget(start);
  CHECK(take_all(budget, start + std::chrono::hours(1)) == 200);
}
