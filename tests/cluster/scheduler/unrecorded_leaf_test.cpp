#include <catch2/catch.hpp>

#include "cluster/scheduler/record_keys.hpp"
#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster::test {
namespace {

TEST_CASE("a task does not start again while the lease of its leaf may last, though the leaf has no record") {
  SchedulerHarness earlier;
  earlier.deliver(earlier.make_report("i-1"));
  earlier.submit("job", single_stage_job(1));
  earlier.make_durable_and_plan();
  const wire::WorkerOrders ordered = earlier.orders("i-1");
  REQUIRE(ordered.starts_size() == 1);
  earlier.records.erase(scheduling::worker_key("i-1"));

  SchedulerHarness next(2, earlier.entries());
  wire::WorkerReport report = next.make_report("i-1");
  report.set_heartbeat_age_ms(4000);
  add_running(report, ordered.starts(0));
  next.deliver(report);
  const auto starts_after = [&next](std::int64_t ms) {
    next.now_ms += ms;
    next.deliver(next.make_report("i-2"));
    return next.orders("i-2").starts_size();
  };
  CHECK(starts_after(200) == 0);
  CHECK(starts_after(5000) == 0);
  CHECK(starts_after(3000) == 1);
}

}  // namespace
}  // namespace winchhall::cluster::test
