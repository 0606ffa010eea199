// The worker-agent and its leaders: epochs, leases, reports, changes of the leader, incarnations of the leaf.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

const std::string kTask = "5c0e7a21d94b36f8.0.0.1";

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture, "without a leader the leaf gets a response without a lease") {
  agent->start();
  const auto answer = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  runtime.advance(Millis(50));
  REQUIRE(answer->answered);
  CHECK(answer->status == 200);
  CHECK_FALSE(answer->has("hold_ms"));
  CHECK_FALSE(answer->has("fence_token"));
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "the lease lasts as long as the grant, counted from the sending of the report") {
  complete_first_exchange();
  answer_report(orders_of(5));  // the next report goes out now
  const ScriptedRuntime::Call report = take_newest_report();
  REQUIRE(report.done);
  runtime.advance(Millis(500));  // the answer is delayed
  wire::WorkerOrders orders = orders_of(5);
  orders.set_grant_ms(20'000);
  answer_orders(report, orders);
  runtime.advance(Millis(16'000));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->number("hold_ms") == 3500);
}

TEST_CASE_METHOD(WorkerAgentFixture, "the lease never exceeds hold_max") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  CHECK(answer->number("hold_ms") == 6000);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "after the grant has expired the leaf gets a response without lease and starts") {
  complete_first_exchange();
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  runtime.calls.clear();  // no report is answered from now on
  runtime.advance(Millis(11'000));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK_FALSE(answer->has("hold_ms"));
  CHECK(answer->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "no start is sent under a lease that is about to expire") {
  complete_first_exchange();
  wire::WorkerOrders orders = orders_of(5, {start_order(1, kTask, 7)});
  orders.set_grant_ms(1);
  answer_report(orders);
  runtime.advance(Millis(9500));  // the first report's grant has less than 500 ms left
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a new epoch drops older orders that were not sent") {
  complete_first_exchange();
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  answer_report(orders_of(6));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->number("fence_token") == 6);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "reports name a new epoch only after a heartbeat has shown the results of older orders") {
  complete_first_exchange();
  heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));  // sent now
  answer_report(orders_of(6));
  CHECK(answer_report(orders_of(6)).epoch() == 5);  // the result of the start is not known yet
  const auto next = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport report = answer_report(orders_of(6));
  CHECK(report.epoch() == 6);
  CHECK(report.orders_received() == 0);
  CHECK(report.running_size() == 1);
  runtime.advance(Millis(50));
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "with no order in flight reports name a new epoch at once") {
  complete_first_exchange();
  heartbeat({});
  runtime.advance(Millis(250));
  answer_report(orders_of(6));
  runtime.advance(Millis(20));
  CHECK(answer_report(orders_of(6)).epoch() == 6);
}

TEST_CASE_METHOD(WorkerAgentFixture, "orders of an older epoch are ignored") {
  complete_first_exchange();
  answer_report(orders_of(6));
  runtime.advance(Millis(20));
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->number("fence_token") == 6);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a leaf with a new id ends the earlier incarnation and its orders") {
  complete_first_exchange();
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  ScriptedHeartbeat restarted_leaf;
  restarted_leaf.leaf_id = "i-2";
  restarted_leaf.sequence = 1;
  const auto answer = heartbeat(restarted_leaf);
  const wire::WorkerReport report = answer_report(orders_of(5, {start_order(2, kTask, 8)}));  // still for i-1
  CHECK(report.leaf().leaf_id() == "i-2");
  CHECK(report.previous_leaf_id() == "i-1");
  CHECK(report.orders_received() == 0);
  CHECK(report.lists_included());
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK_FALSE(answer->has("hold_ms"));
  const auto late = heartbeat({});  // of the earlier incarnation
  REQUIRE(late->answered);
  CHECK(late->body.empty());
  CHECK(answer_report(orders_of(5)).leaf().leaf_id() == "i-2");
}

TEST_CASE_METHOD(WorkerAgentFixture, "a deregistered leaf is acknowledged, reported and gets no starts") {
  complete_first_exchange();
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  unsigned status = 0;
  agent->on_deregister("i-1", [&status](const LeafResponse& answer) { status = answer.status; });
  CHECK(status == 200);
  runtime.advance(Millis(20));
  CHECK(answer_report(orders_of(5)).left());
  const auto late = heartbeat({});
  CHECK(late->starts() == 0);
}

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

TEST_CASE_METHOD(WorkerAgentFixture, "a response that is late after a suspension carries no orders") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  REQUIRE(peek_report());
  const ScriptedRuntime::Call report = take_newest_report();
  runtime.suspend(Millis(3000));
  answer_orders(report, orders_of(5, {start_order(1, kTask, 7)}));
  CHECK(answer->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a shutdown sends the deferred response with its lease and without orders") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  bool done = false;
  agent->shut_down([&done] { done = true; });
  REQUIRE(answer->answered);
  CHECK(answer->has("hold_ms"));
  CHECK_FALSE(done);
  runtime.advance(Millis(100));
  CHECK(done);
  const auto later = heartbeat({});
  CHECK(later->answered);
  CHECK(later->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "an idle leaf gets a longer retry pause than a busy one") {
  complete_first_exchange();
  const auto idle = heartbeat({});
  runtime.advance(Millis(150));
  CHECK_FALSE(idle->answered);
  runtime.advance(Millis(100));
  CHECK(idle->number("retry_after_ms") == 100);
  const auto busy = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  runtime.advance(Millis(45));
  REQUIRE(busy->answered);
  CHECK(busy->number("retry_after_ms") == 20);
}
