// Placement of tasks and gangs, tested with the whole scheduler.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster {
namespace {

using test::add_end;
using test::add_running;
using test::SchedulerHarness;
using test::single_stage_job;

constexpr std::uint32_t kHighPriority = 0;

wire::JobSpec twenty_second_job(std::uint32_t count, bool checkpoints) {
  wire::JobSpec spec = single_stage_job(count);
  spec.mutable_stages(0)->set_estimated_ms(20000);
  spec.mutable_stages(0)->set_checkpoints(checkpoints);
  return spec;
}

TEST_CASE("a gang starts with all members or not at all") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  wire::JobSpec spec = single_stage_job(2);
  spec.mutable_stages(0)->set_gang(true);
  spec.mutable_stages(0)->set_cpu(5000);
  harness.submit("a", spec);
  harness.make_durable_and_plan();
  CHECK(harness.orders("i-1").starts_size() == 0);
  harness.deliver(harness.make_report("i-2"));
  wire::WorkerOrders one = harness.orders("i-1");
  wire::WorkerOrders two = harness.orders("i-2");
  REQUIRE(one.starts_size() == 1);
  REQUIRE(two.starts_size() == 1);
  CHECK(one.starts(0).run() == two.starts(0).run());
}

wire::WorkerReport report_in_rack(SchedulerHarness& harness, const std::string& leaf,
                                  const std::string& rack) {
  wire::WorkerReport report = harness.make_report(leaf);
  report.mutable_leaf()->set_labels(1, rack);
  return report;
}

TEST_CASE(
    "a task runs in the rack of its data if there is capacity, waits for it briefly, then runs remotely") {
  SchedulerHarness harness;
  harness.deliver(report_in_rack(harness, "near", "r-1"));
  harness.deliver(report_in_rack(harness, "away", "r-2"));
  harness.deliver(report_in_rack(harness, "near", "r-1"));
  harness.deliver(report_in_rack(harness, "away", "r-2"));
  wire::JobSpec spec = single_stage_job(8);
  spec.mutable_stages(0)->set_colocation("r-1");
  harness.submit("0000000000000001", spec);
  harness.make_durable_and_plan();
  // Eight cores: the first job fits in the rack of its data, although the other leaf is idle.
  CHECK(harness.orders("near").starts_size() == 8);
  CHECK(harness.orders("away").starts_size() == 0);
  harness.submit("0000000000000002", spec);
  harness.make_durable_and_plan();
  CHECK(harness.orders("away").starts_size() == 0);
  // The wait is half of the time lost by running remotely: 0.5 x 500 ms x (1.5 - 1).
  harness.now_ms += 150;
  harness.make_durable_and_plan();
  CHECK(harness.orders("away").starts_size() == 8);
}

// Job "a" has one task, which has failed on leaf i-1; one more failure ends the job.
wire::WorkerReport fail_once(SchedulerHarness& harness) {
  harness.submit("a", single_stage_job(1), 2, kHighPriority);
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
  harness.submit("full", twenty_second_job(8, false), 2, kHighPriority);
  harness.make_durable_and_plan();
  const wire::WorkerOrders orders = harness.orders("i-2");
  REQUIRE(orders.starts_size() == 8);
  wire::WorkerReport full = harness.make_report("i-2");
  for (const wire::StartOrder& start : orders.starts()) add_running(full, start);
  harness.deliver(harness.make_report("i-1"));
  wire::WorkerReport failed = fail_once(harness);
  const auto run_rounds = [&](int rounds) {
    for (int i = 0; i < rounds; ++i) {
      harness.now_ms += 200;
      full.set_report_number(harness.make_report("i-2").report_number());
      failed.set_report_number(harness.make_report("i-1").report_number());
      harness.deliver(full);
      harness.deliver(failed);
    }
  };
  run_rounds(8);
  CHECK(harness.orders("i-1").starts_size() == 0);
  run_rounds(3);
  CHECK(harness.orders("i-1").starts_size() == 1);
}

}  // namespace
}  // namespace winchhall::cluster
