// Reports to the leader of the service, and the search for the leader.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

const std::string kTask = "5c0e7a21d94b36f8.0.0.1";

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture, "lists that the leader has acknowledged are not reported again") {
  complete_first_exchange();
  heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport with_lists = answer_report(orders_of(5));
  CHECK(with_lists.lists_included());
  runtime.advance(Millis(50));
  const wire::WorkerReport without = answer_report(orders_of(5));
  CHECK_FALSE(without.lists_included());
  CHECK(without.lists_as_of() == with_lists.report_number());
  CHECK(without.running_size() == 0);
  wire::WorkerOrders wanted = orders_of(5);
  wanted.set_lists_wanted(true);
  runtime.advance(Millis(20));
  answer_report(wanted);
  runtime.advance(Millis(20));
  CHECK(answer_report(orders_of(5)).lists_included());
}

TEST_CASE_METHOD(WorkerAgentFixture, "lists whose report got no answer are reported again") {
  complete_first_exchange();
  heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  runtime.calls.clear();
  runtime.advance(Millis(950));
  REQUIRE(peek_report());
  CHECK(take_newest_report().request.worker_report().lists_included());
}

TEST_CASE_METHOD(WorkerAgentFixture, "progress alone is reported at most twice a second") {
  complete_first_exchange();
  heartbeat(ScriptedHeartbeat().runs(kTask, 7, 10));
  answer_report(orders_of(5));
  runtime.advance(Millis(50));
  answer_report(orders_of(5));
  heartbeat(ScriptedHeartbeat().runs(kTask, 7, 11));
  runtime.advance(Millis(50));
  CHECK_FALSE(answer_report(orders_of(5)).lists_included());
  runtime.advance(Millis(500));
  heartbeat(ScriptedHeartbeat().runs(kTask, 7, 20));
  answer_report(orders_of(5));
  runtime.advance(Millis(20));
  const wire::WorkerReport report = answer_report(orders_of(5));
  CHECK(report.lists_as_of() > 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "at most three reports are in flight") {
  complete_first_exchange();
  runtime.advance(Millis(1000));
  runtime.calls.clear();
  agent = std::make_unique<WorkerAgent>(runtime, settings);
  start();
  for (std::uint64_t round = 0; round < 20; ++round) {
    heartbeat(ScriptedHeartbeat().runs(kTask, 100 + round));
    runtime.advance(Millis(20));
  }
  std::size_t reports = 0;
  for (const ScriptedRuntime::Call& call : runtime.calls) reports += call.request.has_worker_report() ? 1 : 0;
  CHECK(reports == 3);
}

TEST_CASE_METHOD(WorkerAgentFixture, "an unresponsive leader is searched for at a bounded rate") {
  complete_first_exchange();
  heartbeat({});
  runtime.calls.clear();
  runtime.advance(Millis(800));
  std::size_t probes = 0;
  for (const ScriptedRuntime::Call& call : runtime.calls)
    probes += call.request.has_configuration_watch() ? 1 : 0;
  CHECK(probes >= 1);
  CHECK(probes <= 3);
  CHECK(answer_probe("10.0.0.4:7000", 6) != "");
  runtime.advance(Millis(20));
  const ScriptedRuntime::Call report = take_newest_report();
  CHECK(report.peer == "10.0.0.4:7000");
  CHECK(report.request.worker_report().lists_included());
}

TEST_CASE_METHOD(WorkerAgentFixture, "a probe of a control node that does not answer is hedged by another") {
  agent->start();
  runtime.advance(Millis(280));
  std::vector<Address> probed;
  for (const ScriptedRuntime::Call& call : runtime.calls)
    if (call.request.has_configuration_watch()) probed.push_back(call.peer);
  REQUIRE(probed.size() == 2);
  CHECK(probed[0] != probed[1]);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a leader that returns at the same address gets a report at once") {
  complete_first_exchange();
  for (std::uint64_t round = 0; round < 3; ++round) {
    heartbeat(ScriptedHeartbeat().runs(kTask, 100 + round));
    runtime.advance(Millis(20));
  }
  const auto reports = [&] {
    return std::count_if(runtime.calls.begin(), runtime.calls.end(),
                         [](const ScriptedRuntime::Call& call) { return call.request.has_worker_report(); });
  };
  runtime.advance(Millis(700));
  const auto before = reports();
  REQUIRE(answer_probe(kLeader, 6) != "");
  runtime.advance(Millis(10));
  CHECK(reports() == before + 1);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a redirect by a former leader is followed") {
  complete_first_exchange();
  heartbeat({});
  wire::WorkerOrders redirect;
  redirect.set_leader_address("10.0.0.7:7000");
  answer_report(redirect);
  runtime.advance(Millis(20));
  CHECK(take_newest_report().peer == "10.0.0.7:7000");
}

TEST_CASE_METHOD(WorkerAgentFixture, "a leader of an older epoch than the one known is ignored") {
  complete_first_exchange();
  heartbeat({});
  answer_report(orders_of(9));
  answer_report(wire::WorkerOrders());
  runtime.advance(Millis(200));
  answer_probe("10.0.0.8:7000", 8);
  runtime.advance(Millis(20));
  CHECK_FALSE(peek_report());
  runtime.advance(Millis(200));
  answer_probe("10.0.0.4:7000", 9);
  runtime.advance(Millis(20));
  CHECK(take_newest_report().peer == "10.0.0.4:7000");
}
