#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "tests/cluster/scheduler/scheduler_harness.hpp"

namespace winchhall::cluster::test {
namespace {

constexpr std::uint64_t kLostReports = 10;  // sent by a process and not delivered before its end

// One process of the worker-agent beside the leaf i-1.
struct AgentProcess {
  SchedulerHarness& harness;
  std::uint64_t session = 0;
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;  // highest that an answer has named

  wire::WorkerReport make_report(const std::vector<wire::StartOrder>& running) {
    wire::WorkerReport report = harness.make_report("i-1");
    report.set_session(session);
    report.set_report_number(++number);
    report.set_epoch(epoch);
    report.set_orders_received(revision);
    report.set_orders_settled(revision);
    for (const wire::StartOrder& start : running) add_running(report, start);
    return report;
  }
  void send(const wire::WorkerReport& report) {
    harness.scheduler->report(report, harness.time(), harness.wall());
    harness.make_durable_and_plan();
  }
  wire::WorkerOrders exchange(const std::vector<wire::StartOrder>& running) {
    send(make_report(running));
    wire::WorkerOrders answer = harness.orders("i-1");
    epoch = answer.epoch();
    revision = std::max(revision, answer.revision());
    return answer;
  }
};

// A job whose only task was ordered by way of the present process, and a report of the process before it that
// has not arrived yet.
struct RestartedAgent {
  SchedulerHarness harness;
  AgentProcess earlier{harness, 1};
  AgentProcess present{harness, 2};
  wire::WorkerReport late;
  std::vector<wire::StartOrder> starts;

  RestartedAgent() {
    for (int i = 0; i < 3; ++i) earlier.exchange({});
    earlier.number += kLostReports;
    late = earlier.make_report({});
    for (int i = 0; i < 3; ++i) present.exchange({});
    harness.submit("job", single_stage_job(1));
    harness.make_durable_and_plan();
    const wire::WorkerOrders ordered = present.exchange({});
    starts.assign(ordered.starts().begin(), ordered.starts().end());
  }
};

TEST_CASE_METHOD(RestartedAgent,
                 "a late report of an ended worker-agent process does not start a running task again") {
  REQUIRE(starts.size() == 1);
  present.exchange(starts);
  present.send(late);
  CHECK(harness.scheduler->stats().counters.tasks_started == 1);
  CHECK(present.exchange(starts).starts_size() == 0);
  CHECK(harness.scheduler->stats().runs == 1);
}

TEST_CASE_METHOD(RestartedAgent,
                 "reports of the present worker-agent process count after a late one of an ended process") {
  REQUIRE(starts.size() == 1);
  present.send(late);
  wire::WorkerReport done = present.make_report({});
  add_end(done, 1, starts[0], wire::END_DONE);
  present.send(done);
  CHECK(harness.scheduler->state("job") == wire::JOB_COMPLETED);
}

}  // namespace
}  // namespace winchhall::cluster::test
