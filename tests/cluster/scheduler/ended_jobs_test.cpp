// What is kept of jobs that have ended: little, and only once their end is durable.
#include <catch2/catch.hpp>

#include "tests/cluster/scheduler/scheduler_script.hpp"

namespace winchhall::cluster {
namespace {

using test::one_stage;
using test::Script;

wire::JobSpec large_job() {
  wire::JobSpec spec = one_stage(1);
  spec.set_spec(std::string(4000, 'x'));
  return spec;
}

// The changes that the scheduler wants made, not made durable.
std::vector<ShardChange> taken_changes(Script& script, ChangeBatchNumber& number) {
  script.scheduler->plan(script.time(), script.wall());
  Scheduler::ChangeBatch changes = script.scheduler->take_changes();
  number = changes.number;
  return changes.changes;
}

TEST_CASE("a job that has ended keeps its end, not its spec") {
  for (const bool cancelled : {false, true}) {
    Script script;
    script.tell(script.report_of("i-1"));
    script.submit("a", large_job());
    script.settle();
    REQUIRE(script.disk.at("job/a").size() > 4000);
    if (cancelled) {
      script.scheduler->cancel("a", script.time(), script.wall());
    } else {
      wire::WorkerReport report = script.report_of("i-1");
      test::add_end(report, 1, script.orders("i-1").starts(0), wire::END_DONE);
      script.tell(report);
    }
    script.settle();
    const wire::JobState end = cancelled ? wire::JOB_CANCELED : wire::JOB_COMPLETED;
    CHECK(script.scheduler->state("a") == end);
    CHECK(script.disk.at("job/a").size() < 100);
    Script next(2, script.entries());
    CHECK(next.scheduler->state("a") == end);
    CHECK(next.submit("a", large_job()).outcome == wire::JOB_OK);
    next.settle();
    CHECK(next.scheduler->state("a") == end);
    CHECK(next.scheduler->pending("q") == 0);
    CHECK(next.scheduler->job("a").has_value());
  }
}

// A leader that finds the spec gone and the end not there would show a cancelled job as completed.
TEST_CASE("the spec is kept until the end is durable") {
  Script script;
  script.tell(script.report_of("i-1"));
  script.submit("a", large_job());
  script.settle();
  script.scheduler->cancel("a", script.time(), script.wall());
  ChangeBatchNumber end = 0;
  for (const ShardChange& change : taken_changes(script, end)) CHECK(change.key != "job/a");
  ChangeBatchNumber none = 0;
  for (const ShardChange& change : taken_changes(script, none)) CHECK(change.key != "job/a");
  script.scheduler->on_changes_durable(end);
  ChangeBatchNumber after = 0;
  const std::vector<ShardChange> changes = taken_changes(script, after);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == "job/a");
}

}  // namespace
}  // namespace winchhall::cluster
