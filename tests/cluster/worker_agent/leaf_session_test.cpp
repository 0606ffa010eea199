// The session of a leaf: the lease, the epochs of leaders and the incarnations of the leaf.
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

TEST_CASE_METHOD(WorkerAgentFixture, "the worker-agent of a deregistered leaf confirms answers") {
  complete_first_exchange();
  agent->on_deregister("i-1", [](const LeafResponse&) {});
  wire::WorkerOrders orders = orders_of(5);
  orders.set_revision(9);
  answer_report(orders);
  CHECK(answer_report(orders_of(5)).orders_received() == 9);
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
