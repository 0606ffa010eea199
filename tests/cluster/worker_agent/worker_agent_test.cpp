// Delivery of the leader's orders to the leaf, with lost responses, duplicates, withdrawn starts, stops and
// drains.
#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

const std::string kTask = "5c0e7a21d94b36f8.0.0.1";
const std::string kOtherTask = "5c0e7a21d94b36f8.0.0.2";

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture, "a start is sent at once with the deferred response") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  CHECK_FALSE(answer->answered);
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  REQUIRE(answer->answered);
  REQUIRE(answer->starts() == 1);
  CHECK(answer->body.at("started_at").as_array()[0] == boost::json::array{kTask, 7, "work", ""});
  CHECK(answer->number("fence_token") == 5);
  CHECK(answer->number("hold_ms") > 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start that the next heartbeat does not list is sent again") {
  complete_first_exchange();
  const auto lost = heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  REQUIRE(lost->starts() == 1);
  const auto again = heartbeat({});
  CHECK(again->answered);
  CHECK(again->starts() == 1);
  CHECK(answer_report(orders_of(5)).orders_settled() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a listed start is acknowledged and not sent again") {
  complete_first_exchange();
  heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  const auto next = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport report = answer_report(orders_of(5));
  CHECK(report.orders_received() == 1);
  CHECK(report.orders_settled() == 1);
  REQUIRE(report.running_size() == 1);
  CHECK(report.running(0).run() == 7);
  runtime.advance(Millis(50));
  REQUIRE(next->answered);
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start whose run has already finished is acknowledged") {
  complete_first_exchange();
  heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  heartbeat(ScriptedHeartbeat().ended(1, kTask, 7, "failed"));
  const wire::WorkerReport report = answer_report(orders_of(5));
  CHECK(report.orders_settled() == 1);
  REQUIRE(report.finished_size() == 1);
  CHECK(report.finished(0).how() == wire::END_FAILED);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start that a stop withdraws before it was sent is never sent") {
  complete_first_exchange();
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  answer_report(orders_of(5, {}, {stop_order(2, kTask, 7)}));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->stops() == 0);
  CHECK(answer_report(orders_of(5)).orders_settled() == 2);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a withdrawn start whose response was lost is not sent again") {
  complete_first_exchange();
  heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  answer_report(orders_of(5, {}, {stop_order(2, kTask, 7)}));
  const auto next = heartbeat({});
  const wire::WorkerReport report = answer_report(orders_of(5));
  CHECK(report.orders_settled() == 2);
  runtime.advance(Millis(250));
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a stop is sent until its run is no longer running") {
  complete_first_exchange();
  const auto first = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  answer_report(orders_of(5, {}, {stop_order(1, kTask, 7)}));
  REQUIRE(first->answered);
  CHECK(first->stops() == 1);
  const auto second = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  CHECK_FALSE(second->answered);  // sent already: the response is deferred
  CHECK(answer_report(orders_of(5)).orders_settled() == 0);
  runtime.advance(Millis(50));
  CHECK(second->stops() == 1);
  const auto third = heartbeat(ScriptedHeartbeat().ended(1, kTask, 7, "stopped"));
  CHECK(answer_report(orders_of(5)).orders_settled() == 1);
  runtime.advance(Millis(50));
  CHECK(third->stops() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "duplicate orders are sent once") {
  complete_first_exchange();
  const auto first = heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  answer_report(orders_of(5, {start_order(1, kTask, 7), start_order(2, kOtherTask, 3)}));
  runtime.advance(Millis(50));
  const auto next = heartbeat(ScriptedHeartbeat().runs(kTask, 7).runs(kOtherTask, 3));
  answer_report(orders_of(5, {start_order(1, kTask, 7), start_order(2, kOtherTask, 3)}));
  runtime.advance(Millis(50));
  CHECK(first->starts() == 1);
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a restarted worker-agent does not send a start that already runs") {
  complete_first_exchange();
  agent = std::make_unique<WorkerAgent>(runtime, settings);
  runtime.calls.clear();
  start();
  const auto answer = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport report = answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  CHECK(report.orders_received() == 0);
  runtime.advance(Millis(50));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer_report(orders_of(5)).orders_settled() == 1);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a heartbeat drops the deferred response of an earlier call") {
  complete_first_exchange();
  const auto older = heartbeat({});
  const auto newer = heartbeat({});
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  CHECK_FALSE(older->answered);
  REQUIRE(newer->answered);
  CHECK(newer->starts() == 1);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a stale heartbeat gets an empty response and changes nothing") {
  complete_first_exchange();
  const auto current = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  ScriptedHeartbeat late;
  late.sequence = 1;
  const auto answer = heartbeat(late);
  REQUIRE(answer->answered);
  CHECK(answer->status == 200);
  CHECK(answer->body.empty());
  CHECK(answer_report(orders_of(5)).running_size() == 1);
  runtime.advance(Millis(50));
  CHECK(current->answered);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a draining leaf gets no starts") {
  complete_first_exchange();
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  ScriptedHeartbeat draining;
  draining.state = "draining";
  const auto answer = heartbeat(draining);
  const wire::WorkerReport report = answer_report(orders_of(5, {start_order(2, kOtherTask, 3)}));
  CHECK(report.leaf().draining());
  CHECK(report.orders_settled() == 1);
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->has("hold_ms"));
  CHECK(answer_report(orders_of(5)).orders_settled() == 2);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a response holds at most 200 starts; the others follow") {
  complete_first_exchange();
  std::vector<wire::StartOrder> starts;
  for (std::uint64_t number = 1; number <= 250; ++number) {
    starts.push_back(start_order(number, "5c0e7a21d94b36f8.0.0." + std::to_string(number), 1));
  }
  const auto first = heartbeat({});
  answer_report(orders_of(5, starts));
  REQUIRE(first->starts() == 200);
  ScriptedHeartbeat next;
  for (std::uint64_t number = 1; number <= 200; ++number) {
    next.runs("5c0e7a21d94b36f8.0.0." + std::to_string(number), 1);
  }
  CHECK(heartbeat(next)->starts() == 50);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "last_seen is sent until the leaf has dropped the finished tasks up to it") {
  complete_first_exchange();
  const auto first = heartbeat(ScriptedHeartbeat().ended(1, kTask, 7));
  wire::WorkerOrders orders = orders_of(5);
  orders.set_last_seen(1);
  answer_report(orders);
  REQUIRE(first->answered);
  CHECK(first->number("last_seen") == 1);
  const auto second = heartbeat(ScriptedHeartbeat().ended(1, kTask, 7));  // the response was lost
  CHECK(second->answered);
  CHECK(second->number("last_seen") == 1);
  CHECK(answer_report(orders).last_seen_delivered() == 0);
  const auto third = heartbeat({});
  CHECK_FALSE(third->answered);
  answer_report(orders);  // answers the report from before the heartbeat, which needed none of its own
  CHECK(answer_report(orders).last_seen_delivered() == 1);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "while the list of finished tasks is truncated no order counts as not executed") {
  complete_first_exchange();
  ScriptedHeartbeat busy;
  busy.runs(kOtherTask, 3);
  const auto first = heartbeat(busy);
  answer_report(orders_of(5, {start_order(1, kTask, 7)}));
  REQUIRE(first->starts() == 1);
  ScriptedHeartbeat full;
  for (std::uint64_t number = 1; number <= kMaxFinishedListed; ++number) {
    full.ended(number, "0000000000000000.0.0." + std::to_string(number), 1);
  }
  const auto second = heartbeat(full);
  const wire::WorkerReport report = answer_report(orders_of(5));
  CHECK(report.orders_settled() == 0);
  REQUIRE(report.running_size() == 1);  // kept until it is listed as finished
  CHECK(report.running(0).task() == kOtherTask);
  runtime.advance(Millis(50));
  CHECK(second->starts() == 0);
  const auto third = heartbeat(ScriptedHeartbeat().ended(501, kOtherTask, 3).ended(502, kTask, 7));
  const wire::WorkerReport complete = answer_report(orders_of(5));
  CHECK(complete.running_size() == 0);
  CHECK(complete.orders_settled() == 1);
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
