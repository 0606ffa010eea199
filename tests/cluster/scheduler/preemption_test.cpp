// Who waits and who gives way: the order of waiting stages, preemption for small tasks, leaves that fail.
#include <catch2/catch.hpp>

#include "cluster/scheduler/leaf_health.hpp"
#include "cluster/scheduler/stage_queue.hpp"
#include "tests/cluster/scheduler/scheduler_script.hpp"

namespace winchhall::cluster {
namespace {

using test::add_end;
using test::add_running;
using test::SchedulerHarness;
using test::single_stage_job;

constexpr std::uint32_t kUrgent = 0;
constexpr std::uint32_t kLater = 2;

wire::JobSpec filling(std::uint32_t count, bool checkpoints) {
  wire::JobSpec spec = single_stage_job(count);
  spec.mutable_stages(0)->set_estimated_ms(20000);
  spec.mutable_stages(0)->set_checkpoints(checkpoints);
  return spec;
}

// Fills the only leaf with tasks of low priority and reports them as running.
wire::WorkerReport fill(SchedulerHarness& harness, const wire::JobSpec& spec) {
  harness.deliver(harness.make_report("i-1"));
  harness.submit("low", spec, 2, kLater);
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
void repeat(SchedulerHarness& harness, wire::WorkerReport report, std::int64_t later_ms) {
  harness.now_ms += later_ms;
  report.set_report_number(harness.make_report("i-1").report_number());
  harness.deliver(report);
}

TEST_CASE("as many checkpointing runs of lower priority are preempted as small tasks wait") {
  SchedulerHarness harness;
  const wire::WorkerReport running = fill(harness, filling(8, true));
  harness.submit("high", single_stage_job(3), 2, kUrgent);
  harness.make_durable_and_plan();
  CHECK(harness.orders("i-1").stops_size() == 0);  // too soon
  repeat(harness, running, 100);
  CHECK(harness.orders("i-1").stops_size() == 3);
  repeat(harness, running, 100);
  CHECK(harness.orders("i-1").stops_size() == 3);  // runs that are stopping count as free
}

TEST_CASE("runs that lose work, and long-running ones, are preempted only after a longer wait") {
  for (const bool lasts : {false, true}) {
    SchedulerHarness harness;
    wire::JobSpec spec = filling(8, false);
    spec.mutable_stages(0)->set_long_running(lasts);
    const wire::WorkerReport running = fill(harness, spec);
    harness.submit("high", single_stage_job(2), 2, kUrgent);
    harness.make_durable_and_plan();
    repeat(harness, running, 200);
    CHECK(harness.orders("i-1").stops_size() == 0);
    repeat(harness, running, 400);
    CHECK(harness.orders("i-1").stops_size() == 2);
  }
}

TEST_CASE("runs of the same priority are never preempted") {
  SchedulerHarness harness;
  const wire::WorkerReport running = fill(harness, filling(8, true));
  harness.submit("same", single_stage_job(3), 2, kLater);
  harness.make_durable_and_plan();
  for (int i = 0; i < 10; ++i) repeat(harness, running, 200);
  CHECK(harness.orders("i-1").stops_size() == 0);
}

TEST_CASE("stages on time go before late ones, and those before worthless ones") {
  using namespace scheduling;
  const auto at = [](std::int64_t ms) { return TimePoint(Millis(ms)); };
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

TEST_CASE("runs ordered before a leaf's failures don't clear it when they succeed") {
  using scheduling::LeafHealth;
  const auto at = [](std::int64_t ms) { return TimePoint(Millis(ms)); };
  LeafHealth health;
  health.on_failure("a", at(100), at(200));
  health.on_success(at(50));
  health.on_failure("b", at(120), at(210));
  health.on_success(at(60));
  health.on_failure("c", at(130), at(220));
  CHECK(health.is_ejected(at(300)));
  CHECK(health.has_high_failure_rate());
  health.on_success(at(90));
  CHECK(health.is_suspect());
  health.on_success(at(3000));
  CHECK_FALSE(health.is_suspect());
}

TEST_CASE("a leaf that fails many runs, though not in a row, has a high failure rate") {
  using scheduling::LeafHealth;
  const auto at = [](std::int64_t ms) { return TimePoint(Millis(ms)); };
  LeafHealth health;
  for (int i = 0; i < 30; ++i) {
    health.on_failure("job" + std::to_string(i), at(i), at(i));
    health.on_success(at(i + 1));
  }
  CHECK_FALSE(health.is_suspect());
  CHECK(health.has_high_failure_rate());
  for (int i = 100; i < 130; ++i) health.on_success(at(i));
  CHECK_FALSE(health.has_elevated_failure_rate());
}

// Job "a" has one task, which has failed on leaf i-1; one more failure ends the job.
wire::WorkerReport fail_once(SchedulerHarness& harness) {
  harness.submit("a", single_stage_job(1), 2, kUrgent);
  harness.make_durable_and_plan();
  const wire::WorkerOrders orders = harness.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  wire::WorkerReport failed = harness.make_report("i-1");
  add_end(failed, 1, orders.starts(0), wire::END_FAILED);
  failed.set_orders_received(orders.revision());
  failed.set_orders_settled(orders.revision());
  harness.deliver(failed);
  return failed;
}

TEST_CASE("a task has its last attempt on the leaf where it failed if no other leaf is feasible") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  fail_once(harness);
  CHECK(harness.orders("i-1").starts_size() == 1);
}

TEST_CASE("a task waits briefly for another leaf before a last attempt where it failed") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-2"));
  harness.submit("full", filling(8, false), 2, kUrgent);
  harness.make_durable_and_plan();
  const wire::WorkerOrders orders = harness.orders("i-2");
  REQUIRE(orders.starts_size() == 8);
  wire::WorkerReport full = harness.make_report("i-2");
  for (const wire::StartOrder& start : orders.starts()) add_running(full, start);
  harness.deliver(harness.make_report("i-1"));
  wire::WorkerReport failed = fail_once(harness);
  const auto pass = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      harness.now_ms += 200;
      full.set_report_number(harness.make_report("i-2").report_number());
      failed.set_report_number(harness.make_report("i-1").report_number());
      harness.deliver(full);
      harness.deliver(failed);
    }
  };
  pass(8);
  CHECK(harness.orders("i-1").starts_size() == 0);
  pass(3);
  CHECK(harness.orders("i-1").starts_size() == 1);
}

}  // namespace
}  // namespace winchhall::cluster
