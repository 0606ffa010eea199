// ReplicaProgress: acknowledged changes, batches in flight, establishment.
#include "cluster/consensus/replica_progress.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/consensus/shard_record.hpp"

namespace winchhall::cluster {
namespace {

TEST_CASE(
    "a replica that was not tracked from the start counts for no change before its content is reconciled") {
  LeaderRecordTable records(1, {});
  const std::string value = "x";
  records.put("a", &value);
  ReplicaProgress late(false);
  CHECK(late.acknowledged_up_to(records.last_change()) == 0);
  late.reconcile_with({}, records);
  CHECK(late.acknowledged_up_to(records.last_change()) == 0);
  const ReplicationBatch batch = late.next_batch(records).value();
  late.on_acknowledged(batch, records);
  CHECK(late.acknowledged_up_to(records.last_change()) == 1);
}

TEST_CASE("an acknowledgement of an older version does not count for a newer one") {
  LeaderRecordTable records(1, {});
  ReplicaProgress progress(true);
  const std::string value = "x";
  records.put("a", &value);
  progress.mark_missing("a", 1);
  const ReplicationBatch first = progress.next_batch(records).value();
  records.put("a", &value);
  progress.mark_missing("a", 2);
  records.put("b", &value);
  progress.mark_missing("b", 3);
  progress.on_acknowledged(first, records);
  CHECK(progress.acknowledged_up_to(3) == 1);
  const ReplicationBatch second = progress.next_batch(records).value();
  progress.on_failed(second);
  CHECK(progress.acknowledged_up_to(3) == 1);
  // After a failure one record is sent first, to detect whether the replica answers again.
  const ReplicationBatch third = progress.next_batch(records).value();
  REQUIRE(third.entries.size() == 1);
  CHECK_FALSE(progress.next_batch(records));
  progress.on_acknowledged(third, records);
  CHECK(progress.acknowledged_up_to(3) == 2);
  const ReplicationBatch fourth = progress.next_batch(records).value();
  progress.on_acknowledged(fourth, records);
  CHECK(progress.acknowledged_up_to(3) == 3);
}

TEST_CASE("a replica that acknowledges nothing is sent one record at a time, however many it misses") {
  LeaderRecordTable records(1, {});
  ReplicaProgress progress(true);
  const std::string value(1000, 'x');
  std::size_t entries = 0;
  for (std::uint64_t change = 1; change <= 1000; ++change) {
    const std::string key = std::to_string(change);
    records.put(key, &value);
    progress.mark_missing(key, change);
    if (const std::optional<ReplicationBatch> batch = progress.next_batch(records)) {
      entries += batch->entries.size();
      progress.on_failed(*batch);
    }
  }
  CHECK(entries == 1000);
  const ReplicationBatch probe = progress.next_batch(records).value();
  REQUIRE(probe.entries.size() == 1);
  progress.on_acknowledged(probe, records);
  std::vector<ReplicationBatch> rest;
  while (std::optional<ReplicationBatch> batch = progress.next_batch(records)) rest.push_back(*batch);
  CHECK(rest.size() > 1);
  while (!rest.empty()) {
    progress.on_acknowledged(rest.back(), records);
    rest.pop_back();
    while (std::optional<ReplicationBatch> batch = progress.next_batch(records)) rest.push_back(*batch);
  }
  CHECK(progress.acknowledged_up_to(1000) == 1000);
}

TEST_CASE("a replica is established by the last batch that completes it, not before") {
  ShardRecords recovered;
  const std::string large(100000, 'x');
  for (int number = 0; number < 6; ++number) {
    const std::string key = "key" + std::to_string(number);
    recovered[key] = shard_record(key, 1, 1);
    recovered[key].set_value(large);
  }
  const LeaderRecordTable records(2, recovered);
  LeaderRecordTable table = records;
  ReplicaProgress progress(true);
  progress.reconcile_with({}, table);
  std::size_t entries = 0;
  while (std::optional<ReplicationBatch> batch = progress.next_batch(table)) {
    entries += batch->entries.size();
    CHECK(batch->establishes == (entries == 6));
    CHECK_FALSE(progress.next_batch(table));  // one at a time
    progress.on_acknowledged(*batch, table);
  }
  CHECK(entries == 6);
  CHECK(progress.established());
}

}  // namespace
}  // namespace winchhall::cluster
