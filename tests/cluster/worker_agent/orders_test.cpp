// Orders on their way through the worker-agent: lost answers, doubled heartbeats, withdrawn starts, stops,
// drains.
#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

const std::string kTask = "5c0e7a21d94b36f8.0.0.1";
const std::string kOtherTask = "5c0e7a21d94b36f8.0.0.2";

}  // namespace

TEST_CASE_METHOD(WorkerAgentFixture, "a start rides on the held answer at once") {
  complete_first_exchange();
  const auto answer = heartbeat({});
  CHECK_FALSE(answer->answered);
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  REQUIRE(answer->answered);
  REQUIRE(answer->starts() == 1);
  CHECK(answer->body.at("started_at").as_array()[0] == boost::json::array{kTask, 7, "work", ""});
  CHECK(answer->number("fence_token") == 5);
  CHECK(answer->number("hold_ms") > 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start that the next heartbeat doesn't list is told again") {
  complete_first_exchange();
  const auto lost = heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  REQUIRE(lost->starts() == 1);
  const auto again = heartbeat({});
  CHECK(again->answered);
  CHECK(again->starts() == 1);
  CHECK(lead(orders_of(5)).orders_settled() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start is settled once it is listed, and not told again") {
  complete_first_exchange();
  heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  const auto next = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport report = lead(orders_of(5));
  CHECK(report.orders_received() == 1);
  CHECK(report.orders_settled() == 1);
  REQUIRE(report.running_size() == 1);
  CHECK(report.running(0).run() == 7);
  runtime.advance(Millis(50));
  REQUIRE(next->answered);
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start that ended at once is settled") {
  complete_first_exchange();
  heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  heartbeat(ScriptedHeartbeat().ended(1, kTask, 7, "failed"));
  const wire::WorkerReport report = lead(orders_of(5));
  CHECK(report.orders_settled() == 1);
  REQUIRE(report.finished_size() == 1);
  CHECK(report.finished(0).how() == wire::END_FAILED);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a start that a stop withdraws before it is told is never told") {
  complete_first_exchange();
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  lead(orders_of(5, {}, {stop_order(2, kTask, 7)}));
  const auto answer = heartbeat({});
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->stops() == 0);
  CHECK(lead(orders_of(5)).orders_settled() == 2);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a start whose answer was lost and that was withdrawn since is not told again") {
  complete_first_exchange();
  heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  lead(orders_of(5, {}, {stop_order(2, kTask, 7)}));
  const auto next = heartbeat({});
  const wire::WorkerReport report = lead(orders_of(5));
  CHECK(report.orders_settled() == 2);
  runtime.advance(Millis(250));
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a stop is told until its run is no longer running") {
  complete_first_exchange();
  const auto first = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  lead(orders_of(5, {}, {stop_order(1, kTask, 7)}));
  REQUIRE(first->answered);
  CHECK(first->stops() == 1);
  const auto second = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  CHECK_FALSE(second->answered);  // told already: it waits for more
  CHECK(lead(orders_of(5)).orders_settled() == 0);
  runtime.advance(Millis(50));
  CHECK(second->stops() == 1);
  const auto third = heartbeat(ScriptedHeartbeat().ended(1, kTask, 7, "stopped"));
  CHECK(lead(orders_of(5)).orders_settled() == 1);
  runtime.advance(Millis(50));
  CHECK(third->stops() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "orders that come twice are told once") {
  complete_first_exchange();
  const auto first = heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  lead(orders_of(5, {start_order(1, kTask, 7), start_order(2, kOtherTask, 3)}));
  runtime.advance(Millis(50));
  const auto next = heartbeat(ScriptedHeartbeat().runs(kTask, 7).runs(kOtherTask, 3));
  lead(orders_of(5, {start_order(1, kTask, 7), start_order(2, kOtherTask, 3)}));
  runtime.advance(Millis(50));
  CHECK(first->starts() == 1);
  CHECK(next->starts() == 0);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a new process doesn't tell a start that runs already") {
  complete_first_exchange();
  agent = std::make_unique<WorkerAgent>(runtime, settings);
  runtime.calls.clear();
  start();
  const auto answer = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  const wire::WorkerReport report = lead(orders_of(5, {start_order(1, kTask, 7)}));
  CHECK(report.orders_received() == 0);
  runtime.advance(Millis(50));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(lead(orders_of(5)).orders_settled() == 1);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "a heartbeat while an older answer is held ends the older call unanswered") {
  complete_first_exchange();
  const auto older = heartbeat({});
  const auto newer = heartbeat({});
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  CHECK_FALSE(older->answered);
  REQUIRE(newer->answered);
  CHECK(newer->starts() == 1);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a late heartbeat is answered empty and changes nothing") {
  complete_first_exchange();
  const auto current = heartbeat(ScriptedHeartbeat().runs(kTask, 7));
  ScriptedHeartbeat late;
  late.sequence = 1;
  const auto answer = heartbeat(late);
  REQUIRE(answer->answered);
  CHECK(answer->status == 200);
  CHECK(answer->body.empty());
  CHECK(lead(orders_of(5)).running_size() == 1);
  runtime.advance(Millis(50));
  CHECK(current->answered);
}

TEST_CASE_METHOD(WorkerAgentFixture, "a draining leaf is started nothing more") {
  complete_first_exchange();
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  ScriptedHeartbeat draining;
  draining.state = "draining";
  const auto answer = heartbeat(draining);
  const wire::WorkerReport report = lead(orders_of(5, {start_order(2, kOtherTask, 3)}));
  CHECK(report.leaf().draining());
  CHECK(report.orders_settled() == 1);
  runtime.advance(Millis(250));
  REQUIRE(answer->answered);
  CHECK(answer->starts() == 0);
  CHECK(answer->has("hold_ms"));
  CHECK(lead(orders_of(5)).orders_settled() == 2);
}

TEST_CASE_METHOD(WorkerAgentFixture, "an answer holds 200 starts at most; the others follow") {
  complete_first_exchange();
  std::vector<wire::StartOrder> starts;
  for (std::uint64_t number = 1; number <= 250; ++number) {
    starts.push_back(start_order(number, "5c0e7a21d94b36f8.0.0." + std::to_string(number), 1));
  }
  const auto first = heartbeat({});
  lead(orders_of(5, starts));
  REQUIRE(first->starts() == 200);
  ScriptedHeartbeat next;
  for (std::uint64_t number = 1; number <= 200; ++number) {
    next.runs("5c0e7a21d94b36f8.0.0." + std::to_string(number), 1);
  }
  CHECK(heartbeat(next)->starts() == 50);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "ends up to last_seen are told to be forgotten until the leaf has heard") {
  complete_first_exchange();
  const auto first = heartbeat(ScriptedHeartbeat().ended(1, kTask, 7));
  wire::WorkerOrders orders = orders_of(5);
  orders.set_last_seen(1);
  lead(orders);
  REQUIRE(first->answered);
  CHECK(first->number("last_seen") == 1);
  const auto second = heartbeat(ScriptedHeartbeat().ended(1, kTask, 7));  // the answer was lost
  CHECK(second->answered);
  CHECK(second->number("last_seen") == 1);
  CHECK(lead(orders).last_seen_delivered() == 0);
  const auto third = heartbeat({});
  CHECK_FALSE(third->answered);
  lead(orders);  // asked for before the heartbeat, which is no news
  CHECK(lead(orders).last_seen_delivered() == 1);
}

TEST_CASE_METHOD(WorkerAgentFixture,
                 "with ends hidden behind a full list nothing is taken for not carried out") {
  complete_first_exchange();
  ScriptedHeartbeat busy;
  busy.runs(kOtherTask, 3);
  const auto first = heartbeat(busy);
  lead(orders_of(5, {start_order(1, kTask, 7)}));
  REQUIRE(first->starts() == 1);
  ScriptedHeartbeat full;
  for (std::uint64_t number = 1; number <= kMaxFinishedListed; ++number) {
    full.ended(number, "0000000000000000.0.0." + std::to_string(number), 1);
  }
  const auto second = heartbeat(full);
  const wire::WorkerReport report = lead(orders_of(5));
  CHECK(report.orders_settled() == 0);
  REQUIRE(report.running_size() == 1);  // kept until its end shows
  CHECK(report.running(0).task() == kOtherTask);
  runtime.advance(Millis(50));
  CHECK(second->starts() == 0);
  const auto third = heartbeat(ScriptedHeartbeat().ended(501, kOtherTask, 3).ended(502, kTask, 7));
  const wire::WorkerReport whole = lead(orders_of(5));
  CHECK(whole.running_size() == 0);
  CHECK(whole.orders_settled() == 1);
}
