#include "cluster/scheduler/wall_clock.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TimePoint at(std::int64_t ms) { return TimePoint(Millis(ms)); }

TEST_CASE("the wall clock follows jumps only once they have lasted") {
  WallClock clock;
  clock.observe(at(1000), 50000);
  CHECK(clock.wall_ms_at(at(2000)) == 51000);
  clock.observe(at(2000), 51100);
  CHECK(clock.wall_ms_at(at(2000)) == 51100);
  clock.observe(at(3000), 57100);
  clock.observe(at(17000), 71100);
  CHECK(clock.wall_ms_at(at(17000)) == 66100);
  clock.observe(at(18100), 72200);
  CHECK(clock.wall_ms_at(at(18100)) == 72200);
  CHECK(clock.steady_time_of(72300) == at(18200));
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
