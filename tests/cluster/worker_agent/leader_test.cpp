// The worker-agent and its leaders: epochs, holds, reports, lost leaders, lives of the leaf.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

const std::string kTask = "5c0e7a21d94b36f8.0.0.1";

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture, "without a leader the leaf is answered, without a hold") {
  agent->start();
  const auto answer = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  runtime.advance(Millis(50));
  REQUIRE(answer->answered);
  CHECK(answer->status == 200);
  CHECK_FALSE(answer->has("hold_ms"));
  CHECK_FALSE(answer->has("fence_token"));
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a hold lasts as long as the grant, counted from the sending of the report") {
  complete_first_exchange();
  lead(orders_of(5));  // the next report goes out now
  const ScriptedRuntime::Call report = take_newest_report();
  REQUIRE(report.done);
  runtime.advance(Millis(500));  // the answer takes its time
  wire::WorkerOrders orders = orders_of(5);
  orders.set_grant_ms(20'000);
  answer_orders(report, orders);
  runtime.advance(Millis(16'000));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->number("hold_ms") == 3500);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a hold is never longer than hold_max") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  CHECK(answer->number("hold_ms") == 6000);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "once the grant has run out nothing is held or started, yet the leaf is answered") {
  complete_first_exchange();
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  runtime.calls.clear();  // nobody answers from now on
  runtime.advance(Millis(11'000));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK_FALSE(answer->has("hold_ms"));
  CHECK(answer->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start is not told under a hold that is about to end") {
  complete_first_exchange();
  wire::WorkerOrders orders = orders_of(5, {start_order(1, kTask, 7)});
  orders.set_grant_ms(1);
  lead(orders);
  runtime.advance(Millis(9500));  // the grant of the first report has under half a second left
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a new epoch drops older orders that were not told") {
  complete_first_exchange();
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  lead(orders_of(6));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->number("fence_token") == 6);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "lists are vouched for under a new epoch only after a heartbeat has shown them") {
  complete_first_exchange();
  heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));  // told now
  lead(orders_of(6));
  CHECK(lead(orders_of(6)).epoch() == 5);  // what became of the start isn't known
  const auto next = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport report = lead(orders_of(6));
  CHECK(report.epoch() == 6);
  CHECK(report.orders_received() == 0);
  CHECK(report.running_size() == 1);
  runtime.advance(Millis(50));
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "with nothing told a new epoch is reported at once") {
  complete_first_exchange();
  heartbeat({});
  runtime.advance(Millis(250));
  lead(orders_of(6));
  runtime.advance(Millis(20));
  CHECK(lead(orders_of(6)).epoch() == 6);
}

TEST_CASE_METHOD(WorkerAgentFixture, "orders of an epoch that is over are ignored") {
  complete_first_exchange();
  lead(orders_of(6));
  runtime.advance(Millis(20));
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->number("fence_token") == 6);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a leaf with a new id ends the old life and its orders") {
  complete_first_exchange();
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  ScriptedHeartbeat reborn;
  reborn.leaf_id = "i-2";
  reborn.sequence = 1;
  const auto answer = heartbeat(reborn);
  const wire::WorkerReport report = lead(orders_of(5, {start_order(2, kTask, 8)}));  // still to i-1
  CHECK(report.leaf().leaf_id() == "i-2");
  CHECK(report.previous_leaf_id() == "i-1");
  CHECK(report.orders_received() == 0);
  CHECK(report.lists_included());
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK_FALSE(answer->has("hold_ms"));
  const auto late = heartbeat({});  // of the old life
  REQUIRE(late->answered);
  CHECK(late->body.empty());
  CHECK(lead(orders_of(5)).leaf().leaf_id() == "i-2");
}

TEST_CASE_METHOD(WorkerAgentFixture, "a leaf that leaves is acknowledged, reported and told no more starts") {
  complete_first_exchange();
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  unsigned status = 0;
  agent->on_deregister("i-1", [&status](const LeafResponse& answer) { status = answer.status; });
  CHECK(status == 200);
  runtime.advance(Millis(20));
  CHECK(lead(orders_of(5)).left());
  const auto late = heartbeat({});
  CHECK(late->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "lists that the leader has answered for are not sent again") {
  complete_first_exchange();
  heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport with_lists = lead(orders_of(5));
  CHECK(with_lists.lists_included());
  runtime.advance(Millis(50));
  const wire::WorkerReport without = lead(orders_of(5));
  CHECK_FALSE(without.lists_included());
  CHECK(without.lists_as_of() == with_lists.report_number());
  CHECK(without.running_size() == 0);
  wire::WorkerOrders wanted = orders_of(5);
  wanted.set_lists_wanted(true);
  runtime.advance(Millis(20));
  lead(wanted);
  runtime.advance(Millis(20));
  CHECK(lead(orders_of(5)).lists_included());
}

TEST_CASE_METHOD(WorkerAgentFixture, "lists whose report got no answer are sent again") {
  complete_first_exchange();
  heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  runtime.calls.clear();
  runtime.advance(Millis(950));
  REQUIRE(peek_report());
  CHECK(take_newest_report().request.worker_report().lists_included());
}

TEST_CASE_METHOD(WorkerAgentFixture, "progress alone is reported twice a second at most") {
  complete_first_exchange();
  heartbeat(ScriptedHeartbeat().runs(kTask, 7, 10));
  lead(orders_of(5));
  runtime.advance(Millis(50));
  lead(orders_of(5));
  heartbeat(ScriptedHeartbeat().runs(kTask, 7, 11));
  runtime.advance(Millis(50));
  CHECK_FALSE(lead(orders_of(5)).lists_included());
  runtime.advance(Millis(500));
  heartbeat(ScriptedHeartbeat().runs(kTask, 7, 20));
  lead(orders_of(5));
  runtime.advance(Millis(20));
  const wire::WorkerReport report = lead(orders_of(5));
  CHECK(report.lists_as_of() > 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "at most three reports are out at once") {
  complete_first_exchange();
  runtime.advance(Millis(1000));
  runtime.calls.clear();
  agent = std::make_unique<WorkerAgent>(runtime, settings);
  start();
  for (std::uint64_t beat = 0; beat < 20; ++beat) {
    heartbeat(ScriptedHeartbeat().runs(kTask, 100 + beat));
    runtime.advance(Millis(20));
  }
  std::size_t reports = 0;
  for (const ScriptedRuntime::Call& call : runtime.calls) reports += call.request.has_worker_report() ? 1 : 0;
  CHECK(reports == 3);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a silent leader is looked for elsewhere, without a storm") {
  complete_first_exchange();
  heartbeat({});
  runtime.calls.clear();
  runtime.advance(Millis(800));
  std::size_t questions = 0;
  for (const ScriptedRuntime::Call& call : runtime.calls)
    questions += call.request.has_configuration_watch() ? 1 : 0;
  CHECK(questions >= 1);
  CHECK(questions <= 3);
  CHECK(answer_watch("10.0.0.4:7000", 6) != "");
  runtime.advance(Millis(20));
  const ScriptedRuntime::Call report = take_newest_report();
  CHECK(report.peer == "10.0.0.4:7000");
  CHECK(report.request.worker_report().lists_included());
}

TEST_CASE_METHOD(WorkerAgentFixture, "while one control node does not answer another is asked") {
  agent->start();
  runtime.advance(Millis(280));
  std::vector<Address> asked;
  for (const ScriptedRuntime::Call& call : runtime.calls)
    if (call.request.has_configuration_watch()) asked.push_back(call.peer);
  REQUIRE(asked.size() == 2);
  CHECK(asked[0] != asked[1]);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a leader that was away and leads again at its address is reported to at once") {
  complete_first_exchange();
  for (std::uint64_t beat = 0; beat < 3; ++beat) {
    heartbeat(ScriptedHeartbeat().runs(kTask, 100 + beat));
    runtime.advance(Millis(20));
  }
  const auto reports = [&] {
    return std::count_if(runtime.calls.begin(), runtime.calls.end(),
                         [](const ScriptedRuntime::Call& call) { return call.request.has_worker_report(); });
  };
  runtime.advance(Millis(700));
  const auto before = reports();
  REQUIRE(answer_watch(kLeader, 6) != "");
  runtime.advance(Millis(10));
  CHECK(reports() == before + 1);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a hint of a former leader is followed") {
  complete_first_exchange();
  heartbeat({});
  wire::WorkerOrders refusal;
  refusal.set_leader_address("10.0.0.7:7000");
  lead(refusal);
  runtime.advance(Millis(20));
  CHECK(take_newest_report().peer == "10.0.0.7:7000");
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a leader of an older epoch than the one known is not taken from a control node") {
  complete_first_exchange();
  heartbeat({});
  lead(orders_of(9));
  lead(wire::WorkerOrders());
  runtime.advance(Millis(200));
  answer_watch("10.0.0.8:7000", 8);
  runtime.advance(Millis(20));
  CHECK_FALSE(peek_report());
  runtime.advance(Millis(200));
  answer_watch("10.0.0.4:7000", 9);
  runtime.advance(Millis(20));
  CHECK(take_newest_report().peer == "10.0.0.4:7000");
}

TEST_CASE_METHOD(WorkerAgentFixture, "after a freeze the late answer carries no orders") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  REQUIRE(peek_report());
  const ScriptedRuntime::Call report = take_newest_report();
  runtime.freeze(Millis(3000));
  answer_orders(report, orders_of(5, {start_order(1, kTask, 7)}));
  CHECK(answer->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "shutting down answers what is held, with its hold and without orders") {
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

TEST_CASE_METHOD(WorkerAgentFixture, "an idle leaf is asked to come back later than a busy one") {
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
