// The scheduler with all its components: single jobs step by step, with reports made by the test.
#include <catch2/catch.hpp>

#include "cluster/common/leaf_protocol.hpp"
#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster {
namespace {

using test::add_end;
using test::add_running;
using test::kWallClockStartMs;
using test::SchedulerHarness;
using test::single_stage_job;

TEST_CASE("a job is queued, runs, and is visible as completed once that is durable") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  SubmitResult submitted = harness.submit("a", single_stage_job(1));
  CHECK(submitted.outcome == wire::JOB_OK);
  CHECK(submitted.durable_after > 0);
  harness.scheduler->plan(harness.time(), harness.wall());
  CHECK(harness.orders("i-1").starts_size() == 0);  // not durable yet
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->pending("q") == 1);
  REQUIRE(harness.scheduler->has_undelivered_orders("i-1"));
  wire::WorkerOrders orders = harness.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).task() == "a.0.0.0");
  CHECK(orders.starts(0).run() == 1);
  CHECK(orders.starts(0).spec() == "what");
  CHECK(orders.grant_ms() == 10000);
  CHECK(harness.scheduler->state("a") == wire::JOB_RUNNING);

  wire::WorkerReport report = harness.make_report("i-1");
  report.set_orders_received(orders.revision());
  report.set_orders_settled(orders.revision());
  add_end(report, 1, orders.starts(0), wire::END_DONE);
  harness.scheduler->report(report, harness.time(), harness.wall());
  CHECK(harness.scheduler->state("a") == wire::JOB_RUNNING);
  CHECK(harness.orders("i-1").last_seen() == 0);
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->state("a") == wire::JOB_COMPLETED);
  CHECK(harness.orders("i-1").last_seen() == 1);
  CHECK(harness.scheduler->pending("q") == 0);
  CHECK(harness.submit("a", single_stage_job(1)).outcome == wire::JOB_OK);
  CHECK(harness.scheduler->state("a") == wire::JOB_COMPLETED);
  CHECK(harness.scheduler->state("b") == wire::JOB_UNKNOWN);
}

TEST_CASE("an end that is listed again to a later leader is counted once") {
  SchedulerHarness first;
  first.deliver(first.make_report("i-1"));
  first.submit("a", single_stage_job(1), 2);
  first.make_durable_and_plan();
  wire::StartOrder start = first.orders("i-1").starts(0);
  wire::WorkerReport report = first.make_report("i-1");
  add_end(report, 1, start, wire::END_FAILED);
  first.deliver(report);

  SchedulerHarness second(2, first.entries());
  wire::WorkerReport again = second.make_report("i-1");
  add_end(again, 1, start, wire::END_FAILED);
  second.deliver(again);
  CHECK(second.scheduler->state("a") != wire::JOB_FAILED);
  wire::WorkerOrders orders = second.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).run() == 4097);
}

TEST_CASE("after a change of leader restored jobs start only once all leaves are synchronized") {
  SchedulerHarness first;
  first.deliver(first.make_report("i-1"));
  first.deliver(first.make_report("i-2"));
  first.submit("a", single_stage_job(1));
  first.make_durable_and_plan();

  SchedulerHarness second(2, first.entries());
  second.deliver(second.make_report("i-1"));
  CHECK(second.orders("i-1").starts_size() == 0);
  second.submit("b", single_stage_job(1));
  second.make_durable_and_plan();
  wire::WorkerOrders orders = second.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).task() == "b.0.0.0");

  SECTION("the other leaf reports") { second.deliver(second.make_report("i-2")); }
  SECTION("the other leaf is replaced") {
    wire::WorkerReport report = second.make_report("i-3");
    report.set_node_name("node-i-2");
    second.deliver(report);
  }
  SECTION("the other leaf's lease expires") {
    second.now_ms += 11300;
    second.deliver(second.make_report("i-1"));
    CHECK(second.orders("i-1").starts_size() == 1);
    second.now_ms += 200;
    second.deliver(second.make_report("i-1"));
  }
  second.make_durable_and_plan();
  int starts = second.orders("i-1").starts_size() + second.orders("i-2").starts_size() +
               second.orders("i-3").starts_size();
  CHECK(starts == 2);
}

// More small tasks on one leaf than it lists ends at once.
constexpr int kEndsBeyondOneList = 100;
constexpr int kSmallTasks = static_cast<int>(kMaxFinishedListed) + kEndsBeyondOneList;

// Orders all small tasks of a job to start on the leaf "i-1".
std::vector<wire::StartOrder> start_small_tasks(SchedulerHarness& harness) {
  wire::JobSpec spec = single_stage_job(kSmallTasks);
  spec.mutable_stages(0)->set_cpu(10);
  harness.submit("a", spec);
  harness.make_durable_and_plan();
  std::vector<wire::StartOrder> starts;
  wire::WorkerReport report = harness.make_report("i-1");
  while (static_cast<int>(starts.size()) < kSmallTasks) {
    const wire::WorkerOrders orders = harness.orders("i-1");
    REQUIRE(orders.starts_size() > 0);
    starts.insert(starts.end(), orders.starts().begin(), orders.starts().end());
    report.set_orders_received(orders.revision());
    report.set_orders_settled(orders.revision());
    for (const wire::StartOrder& start : orders.starts()) add_running(report, start);
    harness.deliver(report);
    report.set_report_number(report.report_number() + 1);
  }
  harness.report_numbers["i-1"] = report.report_number();
  return starts;
}

// The list of ends that a leaf sends once all these runs are done and the first `acknowledged` are forgotten.
void list_ends(wire::WorkerReport& report, const std::vector<wire::StartOrder>& starts,
               std::size_t acknowledged) {
  const std::size_t until = std::min(starts.size(), acknowledged + kMaxFinishedListed);
  for (std::size_t index = acknowledged; index < until; ++index)
    add_end(report, index + 1, starts[index], wire::END_DONE);
}

// Guards against a second run: a new leader took a leaf for synchronized whose list of ends was full.
TEST_CASE("a task whose end does not fit into a leaf's first list does not start again") {
  SchedulerHarness first;
  first.deliver(first.make_report("i-1"));
  const std::vector<wire::StartOrder> starts = start_small_tasks(first);
  REQUIRE(starts.size() == static_cast<std::size_t>(kSmallTasks));
  first.deliver(first.make_report("i-2"));

  SchedulerHarness second(2, first.entries());
  second.deliver(second.make_report("i-2"));
  wire::WorkerReport report = second.make_report("i-1");
  list_ends(report, starts, 0);
  second.deliver(report);
  CHECK(second.orders("i-2").starts_size() == 0);
  const wire::WorkerOrders acknowledgement = second.orders("i-1");
  CHECK(acknowledgement.starts_size() == 0);
  CHECK(acknowledgement.last_seen() == kMaxFinishedListed);
  CHECK(second.scheduler->state("a") != wire::JOB_COMPLETED);

  wire::WorkerReport next = second.make_report("i-1");
  list_ends(next, starts, kMaxFinishedListed);
  second.deliver(next);
  CHECK(second.orders("i-1").starts_size() + second.orders("i-2").starts_size() == 0);
  CHECK(second.scheduler->state("a") == wire::JOB_COMPLETED);
  second.submit("b", single_stage_job(1));
  second.make_durable_and_plan();
  CHECK(second.orders("i-1").starts_size() + second.orders("i-2").starts_size() == 1);
}

TEST_CASE("a cancel withdraws an undelivered start and stops a delivered one") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  harness.submit("a", single_stage_job(1));
  harness.submit("b", single_stage_job(1));
  harness.make_durable_and_plan();
  bool delivered = GENERATE(true, false);
  if (delivered) REQUIRE(harness.orders("i-1").starts_size() == 2);
  JobLookup result = harness.scheduler->cancel("a", harness.time(), harness.wall());
  CHECK(result.knowledge == JobKnowledge::known);
  CHECK(result.durable_after > 0);
  CHECK(harness.scheduler->state("a") != wire::JOB_CANCELED);
  wire::WorkerOrders orders = harness.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).task() == "b.0.0.0");
  CHECK(orders.stops_size() == (delivered ? 1 : 0));
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->state("a") == wire::JOB_CANCELED);
  CHECK(harness.scheduler->cancel("c", harness.time(), harness.wall()).knowledge == JobKnowledge::unknown);
}

TEST_CASE("a timed job starts when it is due although the machine's clock jumps") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  wire::JobSpec spec = single_stage_job(1);
  spec.set_repeat_count(2);
  spec.set_start_at_ms(static_cast<std::uint64_t>(harness.wall() + 2000));
  spec.set_interval_ms(1000);
  harness.submit("a", spec);
  harness.make_durable_and_plan();
  harness.now_ms += 1950;
  harness.scheduler->report(harness.make_report("i-1"), harness.time(), harness.wall() + 5000);
  harness.scheduler->plan(harness.time(), harness.wall() + 5000);
  CHECK(harness.orders("i-1").starts_size() == 0);
  harness.now_ms += 60;
  harness.deliver(harness.make_report("i-1"));
  CHECK(harness.orders("i-1").starts_size() == 1);
  harness.now_ms += 1000;
  harness.deliver(harness.make_report("i-1"));
  CHECK(harness.orders("i-1").starts_size() == 2);
}

TEST_CASE("nothing starts on a draining leaf, and unconfirmed starts are canceled") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  harness.submit("a", single_stage_job(1));
  harness.make_durable_and_plan();
  wire::WorkerOrders orders = harness.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  wire::WorkerReport report = harness.make_report("i-1");
  report.mutable_leaf()->set_draining(true);
  harness.deliver(report);
  orders = harness.orders("i-1");
  CHECK(orders.starts_size() == 0);
  REQUIRE(orders.stops_size() == 1);
  wire::WorkerReport applied = harness.make_report("i-1");
  applied.mutable_leaf()->set_draining(true);
  applied.set_orders_received(orders.revision());
  applied.set_orders_settled(orders.revision());
  harness.deliver(applied);
  harness.deliver(harness.make_report("i-2"));
  wire::WorkerOrders elsewhere = harness.orders("i-2");
  REQUIRE(elsewhere.starts_size() == 1);
  CHECK(elsewhere.starts(0).run() == 2);
}

TEST_CASE("a job that fits on no leaf and invalid reports are tolerated") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  wire::JobSpec spec = single_stage_job(1);
  spec.mutable_stages(0)->set_cpu(4000000000);
  spec.mutable_stages(0)->set_mem_mb(4000000000);
  CHECK(harness.submit("a", spec).outcome == wire::JOB_OK);
  CHECK(harness.submit("b", wire::JobSpec()).outcome == wire::JOB_INVALID);
  harness.make_durable_and_plan();
  wire::WorkerReport report = harness.make_report("i-1");
  report.add_running()->set_task("nonsense");
  report.add_finished()->set_task("a.9.9.9");
  report.set_orders_settled(99999);
  harness.deliver(report);
  harness.scheduler->report(wire::WorkerReport(), harness.time(), harness.wall());
  wire::WorkerOrders orders = harness.orders("i-1");
  CHECK(orders.starts_size() == 0);
  REQUIRE(orders.stops_size() == 1);
  CHECK(orders.stops(0).task() == "nonsense");
  CHECK(harness.scheduler->state("a") == wire::JOB_QUEUED);
}

TEST_CASE("a stalled run is stopped and its task is retried on another leaf") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  harness.submit("a", single_stage_job(1));
  harness.make_durable_and_plan();
  wire::StartOrder start = harness.orders("i-1").starts(0);
  for (int i = 0; i < 40; ++i) {
    harness.now_ms += 100;
    wire::WorkerReport report = harness.make_report("i-1");
    report.set_orders_received(1);
    report.set_orders_settled(1);
    add_running(report, start, i < 2 ? 10 : 20);
    harness.deliver(report);
    harness.deliver(harness.make_report("i-2"));
    harness.orders("i-1");
  }
  wire::WorkerReport report = harness.make_report("i-1");
  report.set_orders_received(2);
  report.set_orders_settled(2);
  add_end(report, 1, start, wire::END_STOPPED);
  harness.deliver(report);
  wire::WorkerOrders orders = harness.orders("i-2");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).run() == 2);
}

TEST_CASE("a long-running task is restarted after every kind of end") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  wire::JobSpec spec = single_stage_job(1);
  spec.mutable_stages(0)->set_long_running(true);
  harness.submit("a", spec, 1);
  harness.make_durable_and_plan();
  std::uint64_t number = 0;
  for (wire::EndKind how :
       {wire::END_FAILED, wire::END_FAILED, wire::END_DONE, wire::END_LAPSED, wire::END_FAILED}) {
    harness.now_ms += 10000;
    harness.deliver(harness.make_report("i-1"));
    wire::WorkerOrders orders = harness.orders("i-1");
    REQUIRE(orders.starts_size() == 1);
    CHECK(orders.starts(0).run() == number + 1);
    wire::WorkerReport report = harness.make_report("i-1");
    report.set_orders_received(orders.revision());
    report.set_orders_settled(orders.revision());
    add_end(report, ++number, orders.starts(0), how);
    harness.deliver(report);
  }
  CHECK(harness.scheduler->state("a") == wire::JOB_RUNNING);
}

TEST_CASE("ended jobs and their records are removed after the retention time") {
  SchedulerHarness harness;
  harness.submit("a", single_stage_job(1));
  harness.make_durable_and_plan();
  harness.scheduler->cancel("a", harness.time(), harness.wall());
  harness.make_durable_and_plan();
  harness.now_ms += 125000;
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->state("a") == wire::JOB_CANCELED);
  CHECK(harness.records.size() == 2);
  harness.now_ms += 60000;
  harness.make_durable_and_plan();
  CHECK(harness.scheduler->state("a") == wire::JOB_UNKNOWN);
  CHECK(harness.records.empty());
}

}  // namespace
}  // namespace winchhall::cluster
