// The records of jobs that have ended.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster {
namespace {

using test::SchedulerHarness;
using test::single_stage_job;

wire::JobSpec large_job() {
  wire::JobSpec spec = single_stage_job(1);
  spec.set_spec(std::string(4000, 'x'));
  return spec;
}

// Plans and takes the changes without making them durable.
std::vector<ShardChange> plan_and_take_changes(SchedulerHarness& harness, ChangeBatchNumber& number) {
  harness.scheduler->plan(harness.time(), harness.wall());
  Scheduler::ChangeBatch changes = harness.scheduler->take_changes();
  number = changes.number;
  return changes.changes;
}

TEST_CASE("the record of an ended job keeps its final state without its spec") {
  for (const bool cancelled : {false, true}) {
    SchedulerHarness harness;
    harness.deliver(harness.make_report("i-1"));
    harness.submit("a", large_job());
    harness.make_durable_and_plan();
    REQUIRE(harness.records.at("job/a").size() > 4000);
    if (cancelled) {
      harness.scheduler->cancel("a", harness.time(), harness.wall());
    } else {
      wire::WorkerReport report = harness.make_report("i-1");
      test::add_end(report, 1, harness.orders("i-1").starts(0), wire::END_DONE);
      harness.deliver(report);
    }
    harness.make_durable_and_plan();
    const wire::JobState end = cancelled ? wire::JOB_CANCELED : wire::JOB_COMPLETED;
    CHECK(harness.scheduler->state("a") == end);
    CHECK(harness.records.at("job/a").size() < 100);
    SchedulerHarness next(2, harness.entries());
    CHECK(next.scheduler->state("a") == end);
    CHECK(next.submit("a", large_job()).outcome == wire::JOB_OK);
    next.make_durable_and_plan();
    CHECK(next.scheduler->state("a") == end);
    CHECK(next.scheduler->pending("q") == 0);
    CHECK(next.scheduler->job("a").has_value());
  }
}

// Without this, a leader that found neither spec nor final state would show a cancelled job as completed.
TEST_CASE("the spec is kept until the final state is durable") {
  SchedulerHarness harness;
  harness.deliver(harness.make_report("i-1"));
  harness.submit("a", large_job());
  harness.make_durable_and_plan();
  harness.scheduler->cancel("a", harness.time(), harness.wall());
  ChangeBatchNumber end = 0;
  for (const ShardChange& change : plan_and_take_changes(harness, end)) CHECK(change.key != "job/a");
  ChangeBatchNumber none = 0;
  for (const ShardChange& change : plan_and_take_changes(harness, none)) CHECK(change.key != "job/a");
  harness.scheduler->on_changes_durable(end);
  ChangeBatchNumber after = 0;
  const std::vector<ShardChange> changes = plan_and_take_changes(harness, after);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == "job/a");
}

}  // namespace
}  // namespace winchhall::cluster
