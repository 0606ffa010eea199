// Courses of single jobs, step by step, against a scripted worker-agent.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_script.hpp"

namespace winchhall::cluster {
namespace {

using test::add_end;
using test::add_running;
using test::kWall;
using test::one_stage;
using test::Script;

TEST_CASE("a job is queued, runs, and is shown as completed once that is durable") {
  Script script;
  script.tell(script.report_of("i-1"));
  SubmitResult submitted = script.submit("a", one_stage(1));
  CHECK(submitted.outcome == wire::JOB_OK);
  CHECK(submitted.durable_after > 0);
  script.scheduler->plan(script.time(), script.wall());
  CHECK(script.orders("i-1").starts_size() == 0);  // not durable yet
  script.settle();
  CHECK(script.scheduler->pending("q") == 1);
  REQUIRE(script.scheduler->has_undelivered_orders("i-1"));
  wire::WorkerOrders orders = script.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).task() == "a.0.0.0");
  CHECK(orders.starts(0).run() == 1);
  CHECK(orders.starts(0).spec() == "what");
  CHECK(orders.grant_ms() == 10000);
  CHECK(script.scheduler->state("a") == wire::JOB_RUNNING);

  wire::WorkerReport report = script.report_of("i-1");
  report.set_orders_received(orders.revision());
  report.set_orders_settled(orders.revision());
  add_end(report, 1, orders.starts(0), wire::END_DONE);
  script.scheduler->report(report, script.time(), script.wall());
  CHECK(script.scheduler->state("a") == wire::JOB_RUNNING);
  CHECK(script.orders("i-1").last_seen() == 0);
  script.settle();
  CHECK(script.scheduler->state("a") == wire::JOB_COMPLETED);
  CHECK(script.orders("i-1").last_seen() == 1);
  CHECK(script.scheduler->pending("q") == 0);
  CHECK(script.submit("a", one_stage(1)).outcome == wire::JOB_OK);
  CHECK(script.scheduler->state("a") == wire::JOB_COMPLETED);
  CHECK(script.scheduler->state("b") == wire::JOB_UNKNOWN);
}

TEST_CASE("an end that a later leader finds listed again is counted once") {
  Script first;
  first.tell(first.report_of("i-1"));
  first.submit("a", one_stage(1), 2);
  first.settle();
  wire::StartOrder start = first.orders("i-1").starts(0);
  wire::WorkerReport report = first.report_of("i-1");
  add_end(report, 1, start, wire::END_FAILED);
  first.tell(report);

  Script second(2, first.entries());
  wire::WorkerReport again = second.report_of("i-1");
  add_end(again, 1, start, wire::END_FAILED);
  second.tell(again);
  CHECK(second.scheduler->state("a") != wire::JOB_FAILED);
  wire::WorkerOrders orders = second.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).run() == 4097);
}

TEST_CASE("after a change of leader nothing old starts before all leaves are heard") {
  Script first;
  first.tell(first.report_of("i-1"));
  first.tell(first.report_of("i-2"));
  first.submit("a", one_stage(1));
  first.settle();

  Script second(2, first.entries());
  second.tell(second.report_of("i-1"));
  CHECK(second.orders("i-1").starts_size() == 0);
  second.submit("b", one_stage(1));
  second.settle();
  wire::WorkerOrders orders = second.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).task() == "b.0.0.0");

  SECTION("the other leaf is heard") { second.tell(second.report_of("i-2")); }
  SECTION("the other leaf is replaced") {
    wire::WorkerReport report = second.report_of("i-3");
    report.set_node_name("node-i-2");
    second.tell(report);
  }
  SECTION("the other leaf's hold is over") {
    second.now_ms += 11300;
    second.tell(second.report_of("i-1"));
    CHECK(second.orders("i-1").starts_size() == 1);
    second.now_ms += 200;
    second.tell(second.report_of("i-1"));
  }
  second.settle();
  int starts = second.orders("i-1").starts_size() + second.orders("i-2").starts_size() +
               second.orders("i-3").starts_size();
  CHECK(starts == 2);
}

TEST_CASE("a start that was not handed out yet is taken back at a cancel, one that was is stopped") {
  Script script;
  script.tell(script.report_of("i-1"));
  script.submit("a", one_stage(1));
  script.submit("b", one_stage(1));
  script.settle();
  bool told = GENERATE(true, false);
  if (told) REQUIRE(script.orders("i-1").starts_size() == 2);
  CancelResult result = script.scheduler->cancel("a", script.time(), script.wall());
  CHECK(result.found);
  CHECK(result.durable_after > 0);
  CHECK(script.scheduler->state("a") != wire::JOB_CANCELED);
  wire::WorkerOrders orders = script.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).task() == "b.0.0.0");
  CHECK(orders.stops_size() == (told ? 1 : 0));
  script.settle();
  CHECK(script.scheduler->state("a") == wire::JOB_CANCELED);
  CHECK_FALSE(script.scheduler->cancel("c", script.time(), script.wall()).found);
}

TEST_CASE("a timed job starts when it is due, whatever the machine's clock jumps to") {
  Script script;
  script.tell(script.report_of("i-1"));
  wire::JobSpec spec = one_stage(1);
  spec.set_repeat_count(2);
  spec.set_start_at_ms(static_cast<std::uint64_t>(script.wall() + 2000));
  spec.set_interval_ms(1000);
  script.submit("a", spec);
  script.settle();
  script.now_ms += 1950;
  script.scheduler->report(script.report_of("i-1"), script.time(), script.wall() + 5000);
  script.scheduler->plan(script.time(), script.wall() + 5000);
  CHECK(script.orders("i-1").starts_size() == 0);
  script.now_ms += 60;
  script.tell(script.report_of("i-1"));
  CHECK(script.orders("i-1").starts_size() == 1);
  script.now_ms += 1000;
  script.tell(script.report_of("i-1"));
  CHECK(script.orders("i-1").starts_size() == 2);
}

TEST_CASE("nothing starts on a leaf that drains, and what was not delivered is taken back") {
  Script script;
  script.tell(script.report_of("i-1"));
  script.submit("a", one_stage(1));
  script.settle();
  wire::WorkerOrders orders = script.orders("i-1");
  REQUIRE(orders.starts_size() == 1);
  wire::WorkerReport report = script.report_of("i-1");
  report.mutable_leaf()->set_draining(true);
  script.tell(report);
  orders = script.orders("i-1");
  CHECK(orders.starts_size() == 0);
  REQUIRE(orders.stops_size() == 1);
  wire::WorkerReport settled = script.report_of("i-1");
  settled.mutable_leaf()->set_draining(true);
  settled.set_orders_received(orders.revision());
  settled.set_orders_settled(orders.revision());
  script.tell(settled);
  script.tell(script.report_of("i-2"));
  wire::WorkerOrders elsewhere = script.orders("i-2");
  REQUIRE(elsewhere.starts_size() == 1);
  CHECK(elsewhere.starts(0).run() == 2);
}

TEST_CASE("a gang starts whole or not at all") {
  Script script;
  script.tell(script.report_of("i-1"));
  wire::JobSpec spec = one_stage(2);
  spec.mutable_stages(0)->set_gang(true);
  spec.mutable_stages(0)->set_cpu(5000);
  script.submit("a", spec);
  script.settle();
  CHECK(script.orders("i-1").starts_size() == 0);
  script.tell(script.report_of("i-2"));
  wire::WorkerOrders one = script.orders("i-1");
  wire::WorkerOrders two = script.orders("i-2");
  REQUIRE(one.starts_size() == 1);
  REQUIRE(two.starts_size() == 1);
  CHECK(one.starts(0).run() == two.starts(0).run());
}

TEST_CASE("work that fits nowhere and bad messages do no harm") {
  Script script;
  script.tell(script.report_of("i-1"));
  wire::JobSpec spec = one_stage(1);
  spec.mutable_stages(0)->set_cpu(4000000000);
  spec.mutable_stages(0)->set_mem_mb(4000000000);
  CHECK(script.submit("a", spec).outcome == wire::JOB_OK);
  CHECK(script.submit("b", wire::JobSpec()).outcome == wire::JOB_INVALID);
  script.settle();
  wire::WorkerReport report = script.report_of("i-1");
  report.add_running()->set_task("nonsense");
  report.add_finished()->set_task("a.9.9.9");
  report.set_orders_settled(99999);
  script.tell(report);
  script.scheduler->report(wire::WorkerReport(), script.time(), script.wall());
  wire::WorkerOrders orders = script.orders("i-1");
  CHECK(orders.starts_size() == 0);
  REQUIRE(orders.stops_size() == 1);
  CHECK(orders.stops(0).task() == "nonsense");
  CHECK(script.scheduler->state("a") == wire::JOB_QUEUED);
}

TEST_CASE("a task that stands still is stopped and starts elsewhere") {
  Script script;
  script.tell(script.report_of("i-1"));
  script.submit("a", one_stage(1));
  script.settle();
  wire::StartOrder start = script.orders("i-1").starts(0);
  for (int i = 0; i < 40; ++i) {
    script.now_ms += 100;
    wire::WorkerReport report = script.report_of("i-1");
    report.set_orders_received(1);
    report.set_orders_settled(1);
    add_running(report, start, i < 2 ? 10 : 20);
    script.tell(report);
    script.tell(script.report_of("i-2"));
    script.orders("i-1");
  }
  wire::WorkerReport report = script.report_of("i-1");
  report.set_orders_received(2);
  report.set_orders_settled(2);
  add_end(report, 1, start, wire::END_STOPPED);
  script.tell(report);
  wire::WorkerOrders orders = script.orders("i-2");
  REQUIRE(orders.starts_size() == 1);
  CHECK(orders.starts(0).run() == 2);
}

TEST_CASE("a lasting task starts again however it ends") {
  Script script;
  script.tell(script.report_of("i-1"));
  wire::JobSpec spec = one_stage(1);
  spec.mutable_stages(0)->set_long_running(true);
  script.submit("a", spec, 1);
  script.settle();
  std::uint64_t number = 0;
  for (wire::EndKind how :
       {wire::END_FAILED, wire::END_FAILED, wire::END_DONE, wire::END_LAPSED, wire::END_FAILED}) {
    script.now_ms += 10000;
    script.tell(script.report_of("i-1"));
    wire::WorkerOrders orders = script.orders("i-1");
    REQUIRE(orders.starts_size() == 1);
    CHECK(orders.starts(0).run() == number + 1);
    wire::WorkerReport report = script.report_of("i-1");
    report.set_orders_received(orders.revision());
    report.set_orders_settled(orders.revision());
    add_end(report, ++number, orders.starts(0), how);
    script.tell(report);
  }
  CHECK(script.scheduler->state("a") == wire::JOB_RUNNING);
}

TEST_CASE("ended jobs are forgotten after their time, with their records") {
  Script script;
  script.submit("a", one_stage(1));
  script.settle();
  script.scheduler->cancel("a", script.time(), script.wall());
  script.settle();
  script.now_ms += 125000;
  script.settle();
  CHECK(script.scheduler->state("a") == wire::JOB_CANCELED);
  CHECK(script.disk.size() == 2);
  script.now_ms += 60000;
  script.settle();
  CHECK(script.scheduler->state("a") == wire::JOB_UNKNOWN);
  CHECK(script.disk.empty());
}

wire::WorkerReport report_in_rack(Script& script, const std::string& leaf, const std::string& rack) {
  wire::WorkerReport report = script.report_of(leaf);
  report.mutable_leaf()->set_labels(1, rack);
  return report;
}

TEST_CASE("a task runs near its data while there is room, waits a moment for room there, then runs away") {
  Script script;
  script.tell(report_in_rack(script, "near", "r-1"));
  script.tell(report_in_rack(script, "away", "r-2"));
  script.tell(report_in_rack(script, "near", "r-1"));
  script.tell(report_in_rack(script, "away", "r-2"));
  wire::JobSpec spec = one_stage(8);
  spec.mutable_stages(0)->set_colocation("r-1");
  script.submit("0000000000000001", spec);
  script.settle();
  // Eight cores: all of the first job fits near its data, though the other leaf has nothing to do.
  CHECK(script.orders("near").starts_size() == 8);
  CHECK(script.orders("away").starts_size() == 0);
  script.submit("0000000000000002", spec);
  script.settle();
  CHECK(script.orders("away").starts_size() == 0);
  // Half of what is lost by running away: 0.5 x 500 ms x (1.5 - 1).
  script.now_ms += 150;
  script.settle();
  CHECK(script.orders("away").starts_size() == 8);
}

}  // namespace
}  // namespace winchhall::cluster
