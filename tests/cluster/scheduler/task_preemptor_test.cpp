// Preemption for small tasks, tested with the whole scheduler.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster {
namespace {

using test::add_running;
using test::SchedulerHarness;
using test::single_stage_job;

constexpr std::uint32_t kHighPriority = 0;
constexpr std::uint32_t kLowPriority = 2;

wire::JobSpec twenty_second_job(std::uint32_t count, bool checkpoints) {
  wire::JobSpec spec = single_stage_job(count);
  spec.mutable_stages(0)->set_estimated_ms(20000);
  spec.mutable_stages(0)->set_checkpoints(checkpoints);
  return spec;
}

// Fills the only leaf with tasks of low priority and reports them as running.
wire::WorkerReport fill_leaf(SchedulerHarness& harness, const wire::JobSpec& spec) {
  harness.deliver(harness.make_report("i-1"));
  harness.submit("low", spec, 2, kLowPriority);
  harness.make_durable_and_plan();
  wire::WorkerReport running = harness.make_report("i-1");
  wire::WorkerOrders orders = harness.orders("i-1");
  REQUIRE(orders.starts_size() == 8);
  for (const wire::StartOrder& start : orders.starts()) add_running(running, start);
  running.set_orders_received(orders.revision());
  running.set_orders_settled(orders.revision());
  harness.deliver(running);
  return running;
}

// Delivers the same report again, `later_ms` later.
void deliver_again(SchedulerHarness& harness, wire::WorkerReport report, std::int64_t later_ms) {
  harness.now_ms += later_ms;
  report.set_report_number(harness.make_report("i-1").report_number());
  harness.deliver(report);
}

TEST_CASE("as many checkpointing runs of lower priority are preempted as small tasks wait") {
  SchedulerHarness harness;
  const wire::WorkerReport running = fill_leaf(harness, twenty_second_job(8, true));
  harness.submit("high", single_stage_job(3), 2, kHighPriority);
  harness.make_durable_and_plan();
  CHECK(harness.orders("i-1").stops_size() == 0);  // too soon
  deliver_again(harness, running, 100);
  CHECK(harness.orders("i-1").stops_size() == 3);
  deliver_again(harness, running, 100);
  CHECK(harness.orders("i-1").stops_size() == 3);  // runs that are stopping count as free
}

TEST_CASE("runs that lose work, and long-running ones, are preempted only after a longer wait") {
  for (const bool long_running : {false, true}) {
    SchedulerHarness harness;
    wire::JobSpec spec = twenty_second_job(8, false);
    spec.mutable_stages(0)->set_long_running(long_running);
    const wire::WorkerReport running = fill_leaf(harness, spec);
    harness.submit("high", single_stage_job(2), 2, kHighPriority);
    harness.make_durable_and_plan();
    deliver_again(harness, running, 200);
    CHECK(harness.orders("i-1").stops_size() == 0);
    deliver_again(harness, running, 400);
    CHECK(harness.orders("i-1").stops_size() == 2);
  }
}

TEST_CASE("runs of the same priority are never preempted") {
  SchedulerHarness harness;
  const wire::WorkerReport running = fill_leaf(harness, twenty_second_job(8, true));
  harness.submit("same", single_stage_job(3), 2, kLowPriority);
  harness.make_durable_and_plan();
  for (int i = 0; i < 10; ++i) deliver_again(harness, running, 200);
  CHECK(harness.orders("i-1").stops_size() == 0);
}

}  // namespace
}  // namespace winchhall::cluster
