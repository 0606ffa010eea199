#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster::test {
namespace {

constexpr char kSuspectLeaf[] = "i-1";
constexpr char kNeededLabel[] = "b";  // only of the suspect leaf

// Three leaves, one of which has failed the only runs of three jobs. Two others are healthy, so that leaves
// may be ejected.
struct SuspectLeafFixture {
  SchedulerHarness harness;
  std::vector<wire::StartOrder> running;  // on the suspect leaf
  std::uint64_t ends = 0;                 // of the suspect leaf
  std::uint64_t revision = 0;             // newest order that it has received

  SuspectLeafFixture() {
    report_all();
    for (const char* job : {"f1", "f2", "f3"}) submit(job, false);
    report_all();
    for (const wire::StartOrder& start : take_running()) report_end(start, wire::END_FAILED);
  }

  // Submits a job of one task that needs the label of the suspect leaf.
  void submit(const std::string& job, bool long_running) {
    wire::JobSpec spec = single_stage_job(1);
    spec.mutable_stages(0)->set_requirements(kNeededLabel);
    spec.mutable_stages(0)->set_long_running(long_running);
    harness.submit(job, spec, 1);
    harness.make_durable_and_plan();
  }
  wire::WorkerReport suspect_report() {
    wire::WorkerReport report = harness.make_report(kSuspectLeaf);
    report.mutable_leaf()->add_labels(kNeededLabel);
    report.set_orders_received(revision);
    report.set_orders_settled(revision);
    for (const wire::StartOrder& start : running) add_running(report, start);
    return report;
  }
  void report_all() {
    for (const char* leaf : {"i-2", "i-3"}) {
      harness.deliver(harness.make_report(leaf));
      harness.orders(leaf);
    }
    harness.deliver(suspect_report());
    const wire::WorkerOrders orders = harness.orders(kSuspectLeaf);
    for (const wire::StartOrder& start : orders.starts())
      if (start.revision() > revision) running.push_back(start);
    revision = std::max(revision, orders.revision());
  }
  std::vector<wire::StartOrder> take_running() { return std::exchange(running, {}); }
  void report_end(const wire::StartOrder& start, wire::EndKind how) {
    wire::WorkerReport report = suspect_report();
    add_end(report, ++ends, start, how);
    harness.deliver(report);
  }
  void run_for(std::int64_t ms) {
    for (const std::int64_t end = harness.now_ms + ms; harness.now_ms < end;) {
      harness.now_ms += 100;
      report_all();
    }
  }
};

// Guards against a lost job: a leaf's trial run was a task that lasts, and nothing else was started there.
TEST_CASE_METHOD(SuspectLeafFixture, "a leaf whose trial run is a task that lasts is used again") {
  REQUIRE(ends == 3);
  run_for(4000);
  submit("feed", true);
  run_for(500);
  REQUIRE(running.size() == 1);
  for (const char* job : {"next-1", "next-2", "next-3", "next-4"}) submit(job, false);
  run_for(2500);
  CHECK(running.size() == 5);
}

// Guards against a lost job: the trial run was withdrawn before it was delivered, and no other followed.
TEST_CASE_METHOD(SuspectLeafFixture, "a leaf whose trial run is withdrawn is used again") {
  REQUIRE(ends == 3);
  run_for(4000);
  submit("withdrawn", false);
  harness.scheduler->cancel("withdrawn", harness.time(), harness.wall());
  harness.make_durable_and_plan();
  submit("next", false);
  run_for(2500);
  REQUIRE(running.size() == 1);
  CHECK(running.front().task().starts_with("next"));
}

}  // namespace
}  // namespace winchhall::cluster::test
