#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

const std::string kTask = "5c0e7a21d94b36f8.0.0.1";
constexpr std::uint64_t kLeafClockMs = 400'000;

ScriptedHeartbeat heartbeat_at(std::uint64_t sequence, std::uint64_t clock_ms) {
  ScriptedHeartbeat heartbeat;
  heartbeat.sequence = sequence;
  heartbeat.clock_ms = clock_ms;
  return heartbeat;
}

// Answers all reports like a leader, until there is none, and returns them.
std::vector<wire::WorkerReport> exchange_reports(WorkerAgentFixture& fixture) {
  std::vector<wire::WorkerReport> reports;
  for (int round = 0; round < 5; ++round) {
    const wire::WorkerReport report = fixture.answer_report(orders_of(5));
    if (report.report_number() > 0) reports.push_back(report);
  }
  return reports;
}

// Whether the lists of a report that names the leader's epoch, and so counts there, lack the run of kTask.
bool declares_ended(const std::vector<wire::WorkerReport>& reports) {
  bool listed = true;
  for (const wire::WorkerReport& report : reports) {
    if (report.lists_included()) listed = report.running_size() > 0;
    if (report.epoch() == 5 && !listed) return true;
  }
  return false;
}

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a heartbeat that was sent before the process started does not declare a later run ended") {
  start();
  lone_heartbeat(
      heartbeat_at(7, kLeafClockMs));  // late: the leaf has sent three more since, and started a task
  CHECK_FALSE(declares_ended(exchange_reports(*this)));
  lone_heartbeat(heartbeat_at(11, kLeafClockMs + 3000).runs(kTask, 1));
  runtime.advance(Millis(50));
  lone_heartbeat(heartbeat_at(12, kLeafClockMs + 3050).runs(kTask, 1));
  const std::vector<wire::WorkerReport> reports = exchange_reports(*this);
  CHECK_FALSE(declares_ended(reports));
  REQUIRE_FALSE(reports.empty());
  CHECK(reports.back().epoch() == 5);
  CHECK(reports.back().leaf().leaf_id() == "i-1");
}

TEST_CASE_METHOD(WorkerAgentFixture, "a late heartbeat of an ended leaf does not end the present one") {
  start();
  lone_heartbeat(heartbeat_at(7, kLeafClockMs));
  runtime.advance(Millis(50));
  lone_heartbeat(heartbeat_at(8, kLeafClockMs + 50));
  exchange_reports(*this);
  ScriptedHeartbeat late = heartbeat_at(3, 90'000);
  late.leaf_id = "i-0";
  lone_heartbeat(late);
  for (const wire::WorkerReport& report : exchange_reports(*this)) {
    CHECK(report.leaf().leaf_id() == "i-1");
    CHECK(report.previous_leaf_id() != "i-1");
  }
  const auto next = lone_heartbeat(heartbeat_at(9, kLeafClockMs + 100));
  runtime.advance(Millis(300));
  REQUIRE(next->answered);
  CHECK(next->has("hold_ms"));
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a leaf that has seen a leader's epoch does not ignore the first response") {
  start();
  const auto first = lone_heartbeat({});
  REQUIRE(first->answered);
  CHECK(first->number("fence_token") == 5);
  CHECK(first->number("retry_after_ms") > 0);
  CHECK_FALSE(first->has("hold_ms"));
}

TEST_CASE_METHOD(WorkerAgentFixture, "the first response waits for the epoch of a leader, but not for long") {
  agent->start();
  const auto first = lone_heartbeat({});
  runtime.advance(Millis(300));
  CHECK_FALSE(first->answered);
  answer_probe();
  REQUIRE(first->answered);
  CHECK(first->number("fence_token") == 5);

  agent = std::make_unique<WorkerAgent>(runtime, settings);
  runtime.calls.clear();
  agent->start();
  const auto unnamed = lone_heartbeat({});
  runtime.advance(Millis(700));
  CHECK(unnamed->answered);
}
