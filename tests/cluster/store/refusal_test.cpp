// Disks that refuse, are full or hang: nothing is reported durable that isn't, the caller never waits, and
// the store goes on once the disk does.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kFolder = "/data";

StoreTuning small_files() {
  StoreTuning tuning = tuning_with_long_shutdown_timeout();
  tuning.write_buffer_bytes = 64 << 10;
  tuning.reopen_delay = std::chrono::milliseconds(0);
  return tuning;
}

std::unique_ptr<LevelDbStore> opened(SimulatedDisk& disk, TestLoop& loop,
                                     const StoreTuning& tuning = small_files()) {
  auto store = open_leveldb_store(kFolder, loop.poster(), disk, tuning);
  REQUIRE(store);
  return std::move(store.value());
}

StoreBatch numbered(std::size_t number, std::size_t bytes = 1000) {
  return {{"key" + std::to_string(number % 50), std::to_string(number) + std::string(bytes, 'x')}};
}

// Commits until the store says durable; a batch that failed is committed again, as the journal does.
void commit_surely(LevelDbStore& store, TestLoop& loop, const StoreBatch& batch) {
  while (commit(store, loop, batch) != CommitOutcome::durable) {
  }
}

Content reopened_content(SimulatedDisk& disk) {
  TestLoop loop;
  const std::unique_ptr<LevelDbStore> store = opened(disk, loop);
  CHECK_FALSE(store->replaces_damaged());
  return content(*store);
}

TEST_CASE("a commit fails while the disk refuses, and the store takes batches again afterwards") {
  SimulatedDisk disk;
  Content expected;
  {
    TestLoop loop;
    const std::unique_ptr<LevelDbStore> store = opened(disk, loop);
    REQUIRE(commit(*store, loop, numbered(1)) == CommitOutcome::durable);
    disk.refuse(true);
    CHECK(commit(*store, loop, numbered(2)) == CommitOutcome::failed);
    std::optional<CommitOutcome> later;
    store->commit(numbered(3), [&](CommitOutcome outcome) { later = outcome; });
    CHECK(loop.idle());
    disk.refuse(false);
    while (!later) loop.run_one();
    CHECK(*later == CommitOutcome::durable);
    REQUIRE(commit(*store, loop, numbered(2)) == CommitOutcome::durable);
  }
  for (std::size_t number = 1; number <= 3; ++number) apply_batch(expected, numbered(number));
  CHECK(reopened_content(disk) == expected);
}

// Also then a loss of power must not bring back less: what a refusal left half done is part of the state.
TEST_CASE("refusals of any two operations lose nothing, with a loss of power at any time after it") {
  constexpr std::size_t kBatches = 150;
  std::mt19937_64 random(3);
  for (std::size_t refused = 0; refused < 420; ++refused) {
    CAPTURE(refused);
    SimulatedDisk disk;
    Content expected;
    std::vector<std::pair<std::size_t, Content>> durable{{0, {}}};
    {
      TestLoop loop;
      const std::unique_ptr<LevelDbStore> store = opened(disk, loop);
      // The second meets the opening that follows the first.
      disk.refuse_changes({refused, refused + 1 + random() % 25});
      for (std::size_t number = 0; number < kBatches; ++number) {
        commit_surely(*store, loop, numbered(number));
        apply_batch(expected, numbered(number));
        durable.emplace_back(disk.operations(), expected);
      }
    }
    disk.refuse_changes({});
    CHECK(reopened_content(disk) == expected);
    const std::vector<DiskOperation> trace = disk.trace();
    const std::size_t cut = random() % (trace.size() + 1);
    DiskModel model;
    for (std::size_t index = 0; index < cut; ++index) model.apply(trace[index]);
    SimulatedDisk left(model.after_power_loss(random));
    const Content found = reopened_content(left);
    std::size_t least = 0;
    while (least + 1 < durable.size() && durable[least + 1].first <= cut) ++least;
    const auto position = std::find_if(durable.begin(), durable.end(),
                                       [&](const auto& entry) { return entry.second == found; });
    REQUIRE(position != durable.end());
    CHECK(static_cast<std::size_t>(position - durable.begin()) >= least);
  }
}

TEST_CASE("a full disk takes no batch until there is room, and keeps what it has") {
  SimulatedDisk disk;
  Content expected;
  {
    TestLoop loop;
    const std::unique_ptr<LevelDbStore> store = opened(disk, loop);
    disk.set_capacity(300 << 10);
    std::size_t number = 0;
    while (commit(*store, loop, {{"key" + std::to_string(number), std::string(1000, 'y')}}) ==
           CommitOutcome::durable) {
      expected["key" + std::to_string(number)] = std::string(1000, 'y');
      REQUIRE(++number < 1000);
    }
    disk.set_capacity(16 << 20);
    commit_surely(*store, loop, {{"after", "room"}});
    expected["after"] = "room";
    // In doubt after its failure; written once more, as the journal does.
    commit_surely(*store, loop, {{"key" + std::to_string(number), std::string(1000, 'y')}});
    expected["key" + std::to_string(number)] = std::string(1000, 'y');
  }
  CHECK(reopened_content(disk) == expected);
}

TEST_CASE("a disk that hangs holds up neither the caller nor the end of the process") {
  SimulatedDisk disk;
  TestLoop loop;
  StoreTuning impatient = small_files();
  impatient.shutdown_timeout = StoreTuning().shutdown_timeout;
  {
    const std::unique_ptr<LevelDbStore> store = opened(disk, loop, impatient);
    disk.hang(true);
    store->commit(numbered(1), [](CommitOutcome) { FAIL("reported while the disk hangs"); });
    disk.wait_for_hanging_sync();
    for (std::size_t number = 2; number < 100; ++number)
      store->commit(numbered(number), [](CommitOutcome) {});
    CHECK(loop.idle());
  }
  CHECK(loop.idle());
  disk.hang(false);
  // The thread that was left behind ends before the disk does.
  disk.wait_for_unlock();
  CHECK(loop.idle());
  Content expected;
  apply_batch(expected, numbered(1));
  CHECK(reopened_content(disk) == expected);
}

TEST_CASE("what waits behind a sync that hangs is synced together, in order") {
  SimulatedDisk disk;
  TestLoop loop;
  const std::unique_ptr<LevelDbStore> store = opened(disk, loop);
  disk.hang(true);
  std::vector<std::size_t> ended;
  for (std::size_t number = 0; number < 500; ++number) {
    store->commit(numbered(number, 100), [&ended, number](CommitOutcome outcome) {
      REQUIRE(outcome == CommitOutcome::durable);
      ended.push_back(number);
    });
  }
  disk.wait_for_hanging_sync();
  const std::size_t before = disk.operations();
  disk.hang(false);
  while (ended.size() < 500) loop.run_one();
  CHECK(std::is_sorted(ended.begin(), ended.end()));
  CHECK(disk.operations() - before < 40);
}

}  // namespace
}  // namespace winchhall::cluster::sim
