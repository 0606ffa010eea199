// Pending orders of the leader, from their receipt to their acknowledgement by a heartbeat.
#include "cluster/worker_agent/pending_command_table.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/worker_agent/worker_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::worker_test;

namespace {

constexpr std::size_t kManyStarts = 100;
constexpr std::size_t kManyBytes = 1U << 20U;
constexpr std::uint64_t kEpoch = 5;
const std::string kTask = "5c0e7a21d94b36f8.0.0.1";
const std::string kOtherTask = "5c0e7a21d94b36f8.0.0.2";

wire::RunningTask running_task(const std::string& task, std::uint64_t run) {
  wire::RunningTask entry;
  entry.set_task(task);
  entry.set_run(run);
  return entry;
}

// The table, and the task lists of the newest heartbeat.
struct TableWithLists {
  PendingCommandTable table;
  LeafTaskLists lists;

  void receive(const wire::WorkerOrders& orders) { table.receive(orders, lists); }
  void heartbeat(std::vector<wire::RunningTask> running = {}) {
    lists.update(std::move(running), {});
    table.reconcile(lists);
  }
  // A heartbeat that lists ends with the numbers from `first` on.
  void heartbeat_with_finished(std::uint64_t first, std::size_t count) {
    std::vector<wire::FinishedTask> finished(count);
    for (std::size_t index = 0; index < count; ++index) {
      finished[index].set_number(first + index);
      finished[index].set_task(kTask);
      finished[index].set_run(first + index);
    }
    lists.update({}, std::move(finished));
    table.reconcile(lists);
  }
  CommandBatch take_batch(std::size_t max_starts = kManyStarts, std::size_t max_bytes = kManyBytes) {
    return table.take_batch(true, max_starts, max_bytes);
  }
};

}  // namespace

TEST_CASE_METHOD(TableWithLists, "a start is acknowledged by the heartbeat that lists its run") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 7)}));
  CHECK(table.received_revision() == 1);
  CHECK(table.acknowledged_revision() == 0);
  CHECK(take_batch().starts.size() == 1);
  CHECK(take_batch().starts.empty());
  heartbeat({running_task(kTask, 7)});
  CHECK(table.acknowledged_revision() == 1);
  CHECK(table.empty());
}

TEST_CASE_METHOD(TableWithLists, "a start that a heartbeat does not list is to be sent again") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 7)}));
  take_batch();
  CHECK_FALSE(table.has_unsent_starts());
  heartbeat();
  CHECK(table.has_unsent_starts());
  CHECK(take_batch().starts.size() == 1);
}

// Guards against a start that the leaf rejects: an earlier process had sent it, and the run's end was beyond
// the full list.
TEST_CASE_METHOD(TableWithLists, "a start waits for a complete list of ends if the first ones are full") {
  heartbeat_with_finished(1, kMaxFinishedListed);
  const std::uint64_t unlisted_run = kMaxFinishedListed + 1;
  receive(orders_of(kEpoch, {start_order(1, kTask, unlisted_run), start_order(2, kOtherTask, 1)}));
  CHECK(take_batch().starts.empty());
  heartbeat_with_finished(unlisted_run, 1);
  const CommandBatch batch = take_batch();
  REQUIRE(batch.starts.size() == 1);
  CHECK(batch.starts[0].task() == kOtherTask);
  heartbeat_with_finished(1, kMaxFinishedListed);  // full again, but complete before
  receive(orders_of(kEpoch, {start_order(3, kTask, unlisted_run + 1)}));
  CHECK(take_batch().starts.size() == 1);
}

TEST_CASE_METHOD(TableWithLists, "orders that were received before are ignored") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 7)}));
  heartbeat({running_task(kTask, 7)});
  receive(orders_of(kEpoch, {start_order(1, kTask, 7)}));
  CHECK(table.empty());
}

TEST_CASE_METHOD(TableWithLists, "a stop revokes starts of its run and of earlier ones that were not sent") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 6), start_order(2, kTask, 7), start_order(3, kTask, 8)}));
  receive(orders_of(kEpoch, {}, {stop_order(4, kTask, 7)}));
  const CommandBatch batch = take_batch();
  REQUIRE(batch.starts.size() == 1);
  CHECK(batch.starts[0].run() == 8);
  CHECK(batch.stops.empty());
}

TEST_CASE_METHOD(TableWithLists, "a stop stays pending while a start that it revokes may be executed") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 7)}));
  take_batch();
  receive(orders_of(kEpoch, {}, {stop_order(2, kTask, 7)}));
  CHECK(table.acknowledged_revision() == 0);
  heartbeat({running_task(kTask, 7)});  // the start was executed
  CHECK(table.has_unsent_stops());
  CHECK(table.acknowledged_revision() == 1);
  take_batch();
  heartbeat();
  CHECK(table.acknowledged_revision() == 2);
  CHECK(table.empty());
}

TEST_CASE_METHOD(TableWithLists, "stops are part of every batch until they are acknowledged") {
  heartbeat({running_task(kTask, 7)});
  receive(orders_of(kEpoch, {}, {stop_order(1, kTask, 7)}));
  CHECK(take_batch().stops.size() == 1);
  CHECK_FALSE(table.has_unsent_stops());
  CHECK(take_batch().stops.size() == 1);
  heartbeat();
  CHECK(take_batch().stops.empty());
}

TEST_CASE_METHOD(TableWithLists, "a batch is bounded by the number and the size of its starts") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 7), start_order(2, kOtherTask, 7)}));
  CHECK(take_batch(1).starts.size() == 1);
  CHECK(take_batch(kManyStarts, 1).starts.empty());
  CHECK(take_batch().starts.size() == 1);
}

TEST_CASE_METHOD(TableWithLists, "withdrawn starts are not sent any more") {
  receive(orders_of(kEpoch, {start_order(1, kTask, 7), start_order(2, kOtherTask, 7)}));
  take_batch(1);
  table.withdraw_unsent_starts();
  CHECK(table.acknowledged_revision() == 0);  // the first start may still be executed
  heartbeat();
  CHECK(take_batch().starts.empty());
  CHECK(table.acknowledged_revision() == 2);
}

TEST_CASE_METHOD(TableWithLists, "clearing discards the orders and the revisions") {
  receive(orders_of(kEpoch, {start_order(3, kTask, 7)}));
  table.clear();
  CHECK(table.empty());
  CHECK(table.received_revision() == 0);
  receive(orders_of(kEpoch + 1, {start_order(1, kTask, 8)}));
  CHECK(table.received_revision() == 1);
}
