#include "cluster/scheduler/stage_queue.hpp"

#include <catch2/catch.hpp>

namespace winchhall::cluster::scheduling {
namespace {

TimePoint at(std::int64_t ms) { return TimePoint(Millis(ms)); }

TEST_CASE("stages on time go before late ones, and those before worthless ones") {
  StageInstance early;
  StageInstance late;
  early.key.latest_start = at(1000);
  early.late_after = at(1500);
  early.worthless_after = at(4000);
  late.key.latest_start = at(2000);
  late.key.sequence = 1;
  late.late_after = at(2500);
  late.worthless_after = at(9000);
  StageQueue queue;
  queue.add(early);
  queue.add(late);
  CHECK(queue.stages().begin()->second == &early);
  queue.update_deadline_status(early, at(1600));
  queue.update_deadline_status(late, at(1600));
  CHECK(queue.stages().begin()->second == &late);
  queue.update_deadline_status(late, at(2600));
  CHECK(queue.stages().begin()->second == &early);  // both late
  queue.update_deadline_status(early, at(4001));
  CHECK(queue.stages().begin()->second == &late);
  late.key.priority = 1;
  CHECK(early.key < late.key);  // priority first
}

}  // namespace
}  // namespace winchhall::cluster::scheduling
