// I/O errors, full disks and hanging disks: only durable batches are reported as durable, the caller never
// blocks, and the store recovers with the disk.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kDirectory = "/data";

StoreTuning small_files() {
  StoreTuning tuning = tuning_with_long_shutdown_timeout();
  tuning.write_buffer_bytes = 64 << 10;
  tuning.reopen_delay = std::chrono::milliseconds(0);
  return tuning;
}

std::unique_ptr<LevelDbStore> open_store(SimulatedDisk& disk, TestLoop& loop,
                                         const StoreTuning& tuning = small_files()) {
  auto store = open_leveldb_store(kDirectory, loop.poster(), disk, tuning);
  REQUIRE(store);
  return std::move(store.value());
}

StoreBatch numbered(std::size_t number, std::size_t bytes = 1000) {
  return {{"key" + std::to_string(number % 50), std::to_string(number) + std::string(bytes, 'x')}};
}

// Retries until the batch is durable, as CommitQueue does.
void commit_with_retries(LevelDbStore& store, TestLoop& loop, const StoreBatch& batch) {
  while (commit(store, loop, batch) != CommitOutcome::durable) {
  }
}

Content reopened_content(SimulatedDisk& disk) {
  TestLoop loop;
  const std::unique_ptr<LevelDbStore> store = open_store(disk, loop);
  CHECK_FALSE(store->replaces_damaged());
  return load_content(*store);
}

TEST_CASE("commits fail during I/O errors and succeed again afterwards") {
  SimulatedDisk disk;
  Content expected;
  {
    TestLoop loop;
    const std::unique_ptr<LevelDbStore> store = open_store(disk, loop);
    REQUIRE(commit(*store, loop, numbered(1)) == CommitOutcome::durable);
    disk.fail_changes(true);
    CHECK(commit(*store, loop, numbered(2)) == CommitOutcome::failed);
    std::optional<CommitOutcome> later;
    store->commit(numbered(3), [&](CommitOutcome outcome) { later = outcome; });
    CHECK(loop.is_idle());
    disk.fail_changes(false);
    while (!later) loop.run_one();
    CHECK(*later == CommitOutcome::durable);
    REQUIRE(commit(*store, loop, numbered(2)) == CommitOutcome::durable);
  }
  for (std::size_t number = 1; number <= 3; ++number) apply_batch(expected, numbered(number));
  CHECK(reopened_content(disk) == expected);
}

// The incomplete result of a failed operation is part of the state in which a later power loss occurs.
TEST_CASE("I/O errors at any two operations lose no durable batch, also with a later power loss") {
  constexpr std::size_t kBatches = 150;
  std::mt19937_64 random(3);
  for (std::size_t failing = 0; failing < 420; ++failing) {
    CAPTURE(failing);
    SimulatedDisk disk;
    Content expected;
    std::vector<std::pair<std::size_t, Content>> durable{{0, {}}};
    {
      TestLoop loop;
      const std::unique_ptr<LevelDbStore> store = open_store(disk, loop);
      // The second error hits the reopening after the first one.
      disk.fail_changes_numbered({failing, failing + 1 + random() % 25});
      for (std::size_t number = 0; number < kBatches; ++number) {
        commit_with_retries(*store, loop, numbered(number));
        apply_batch(expected, numbered(number));
        durable.emplace_back(disk.operations(), expected);
      }
    }
    disk.fail_changes_numbered({});
    CHECK(reopened_content(disk) == expected);
    const std::vector<DiskOperation> trace = disk.trace();
    const std::size_t power_loss_at = random() % (trace.size() + 1);
    DiskModel model;
    for (std::size_t index = 0; index < power_loss_at; ++index) model.apply(trace[index]);
    SimulatedDisk left(model.after_power_loss(random));
    const Content found = reopened_content(left);
    std::size_t first_allowed = 0;
    while (first_allowed + 1 < durable.size() && durable[first_allowed + 1].first <= power_loss_at)
      ++first_allowed;
    const auto position = std::find_if(durable.begin(), durable.end(),
                                       [&](const auto& entry) { return entry.second == found; });
    REQUIRE(position != durable.end());
    CHECK(static_cast<std::size_t>(position - durable.begin()) >= first_allowed);
  }
}

TEST_CASE("commits fail on a full disk, which keeps its content, and succeed once there is space") {
  SimulatedDisk disk;
  Content expected;
  {
    TestLoop loop;
    const std::unique_ptr<LevelDbStore> store = open_store(disk, loop);
    disk.set_capacity(300 << 10);
    std::size_t number = 0;
    while (commit(*store, loop, {{"key" + std::to_string(number), std::string(1000, 'y')}}) ==
           CommitOutcome::durable) {
      expected["key" + std::to_string(number)] = std::string(1000, 'y');
      REQUIRE(++number < 1000);
    }
    disk.set_capacity(16 << 20);
    commit_with_retries(*store, loop, {{"after", "room"}});
    expected["after"] = "room";
    // The outcome of the failed commit was unknown, so it is retried, as CommitQueue does.
    commit_with_retries(*store, loop, {{"key" + std::to_string(number), std::string(1000, 'y')}});
    expected["key" + std::to_string(number)] = std::string(1000, 'y');
  }
  CHECK(reopened_content(disk) == expected);
}

TEST_CASE("a hanging disk blocks neither the caller nor the shutdown") {
  SimulatedDisk disk;
  TestLoop loop;
  StoreTuning with_short_timeout = small_files();
  with_short_timeout.shutdown_timeout = StoreTuning().shutdown_timeout;
  {
    const std::unique_ptr<LevelDbStore> store = open_store(disk, loop, with_short_timeout);
    disk.hang(true);
    store->commit(numbered(1), [](CommitOutcome) { FAIL("reported while the disk hangs"); });
    disk.wait_for_hanging_sync();
    for (std::size_t number = 2; number < 100; ++number)
      store->commit(numbered(number), [](CommitOutcome) {});
    CHECK(loop.is_idle());
  }
  CHECK(loop.is_idle());
  disk.hang(false);
  // The detached thread must finish before the disk is destroyed.
  disk.wait_for_unlock();
  CHECK(loop.is_idle());
  Content expected;
  apply_batch(expected, numbered(1));
  CHECK(reopened_content(disk) == expected);
}

TEST_CASE("commits that wait for a hanging sync are written together, in order") {
  SimulatedDisk disk;
  TestLoop loop;
  const std::unique_ptr<LevelDbStore> store = open_store(disk, loop);
  disk.hang(true);
  std::vector<std::size_t> completed;
  for (std::size_t number = 0; number < 500; ++number) {
    store->commit(numbered(number, 100), [&completed, number](CommitOutcome outcome) {
      REQUIRE(outcome == CommitOutcome::durable);
      completed.push_back(number);
    });
  }
  disk.wait_for_hanging_sync();
  const std::size_t before = disk.operations();
  disk.hang(false);
  while (completed.size() < 500) loop.run_one();
  CHECK(std::is_sorted(completed.begin(), completed.end()));
  CHECK(disk.operations() - before < 40);
}

}  // namespace
}  // namespace winchhall::cluster::sim
