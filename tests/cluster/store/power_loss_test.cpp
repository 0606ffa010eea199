// Power loss at every disk operation: commits reported as durable are present afterwards, and batches are
// atomic.
#include <catch2/catch.hpp>

#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kDirectory = "/data";
const std::string kLast = "last";

// Small files, so that write-ahead logs, tables and MANIFEST files are switched often.
StoreTuning small_files() {
  StoreTuning tuning = tuning_with_long_shutdown_timeout();
  tuning.write_buffer_bytes = 64 << 10;
  return tuning;
}

// The content of the store after each batch, in order. A reopened store must have one of these contents.
class History {
 public:
  explicit History(Content start) : states_{std::move(start)} {}

  std::size_t add(const StoreBatch& batch) {
    Content next = states_.back();
    apply_batch(next, batch);
    states_.push_back(std::move(next));
    return states_.size() - 1;
  }
  std::size_t last() const { return states_.size() - 1; }
  // Position of the newest state that equals `found`; none: a batch was applied in part.
  std::optional<std::size_t> position(const Content& found) const {
    for (std::size_t index = states_.size(); index-- > 0;) {
      if (states_[index] == found) return index;
    }
    return std::nullopt;
  }

 private:
  std::vector<Content> states_;
};

// A batch of puts and removals; some batches span several blocks of the write-ahead log.
StoreBatch random_batch(std::mt19937_64& random, const std::string& name) {
  StoreBatch batch{{kLast, name}};
  const std::size_t writes = 1 + random() % 4;
  const std::size_t size = random() % 40 == 0 ? 30000 : 50 + random() % 1500;
  for (std::size_t index = 0; index < writes; ++index) {
    const std::string key = "key" + std::to_string(random() % 60);
    if (random() % 5 == 0) {
      batch.push_back({key, std::nullopt});
    } else {
      batch.push_back({key, std::string(size, static_cast<char>('a' + random() % 26)) + name});
    }
  }
  return batch;
}

// One run of a store: its disk operations, and which state was durable after how many of them.
struct StoreRun {
  explicit StoreRun(const Content& start) : history(start) {}
  History history;
  std::vector<DiskOperation> trace;
  std::vector<std::pair<std::size_t, std::size_t>>
      durable;  // (disk operations so far, position in `history`)

  std::size_t durable_by(std::size_t operations) const {
    std::size_t position = 0;
    for (const auto& [by, committed] : durable) {
      if (by <= operations) position = std::max(position, committed);
    }
    return position;
  }
};

std::unique_ptr<LevelDbStore> open_store(SimulatedDisk& disk, PostToLoop poster) {
  auto store = open_leveldb_store(kDirectory, std::move(poster), disk, small_files());
  REQUIRE(store);
  CHECK_FALSE(store.value()->replaces_damaged());
  return std::move(store.value());
}

// Opens the store and commits `count` batches, several concurrently. A batch counts as durable from the
// moment at which the writer thread posts its outcome.
StoreRun run_store(SimulatedDisk& disk, std::size_t count, std::mt19937_64& random) {
  TestLoop loop;
  std::size_t posted_at = 0;
  std::mutex mutex;
  const PostToLoop post = loop.poster();
  const PostToLoop record_and_post = [&](std::function<void()> action) {
    const std::size_t now = disk.operations();
    post([&posted_at, now, action = std::move(action)] {
      posted_at = now;
      action();
    });
  };
  const std::unique_ptr<LevelDbStore> store = open_store(disk, record_and_post);
  StoreRun run(load_content(*store));
  std::size_t pending = 0;
  for (std::size_t number = 0; number < count; ++number) {
    const std::string name = std::to_string(random());
    const StoreBatch batch = random_batch(random, name);
    const std::size_t position = run.history.add(batch);
    ++pending;
    store->commit(batch, [&, position](CommitOutcome outcome) {
      REQUIRE(outcome == CommitOutcome::durable);
      run.durable.emplace_back(posted_at, position);
      --pending;
    });
    const bool wait_for_all = random() % 3 == 0;
    while (wait_for_all && pending > 0) loop.run_one();
  }
  while (pending > 0) loop.run_one();
  run.trace = disk.trace();
  return run;
}

void check_opens(const DiskFiles& files, const StoreRun& run, std::size_t operations) {
  SimulatedDisk disk(files);
  TestLoop loop;
  const std::unique_ptr<LevelDbStore> store = open_store(disk, loop.poster());
  const std::optional<std::size_t> position = run.history.position(load_content(*store));
  REQUIRE(position);
  CHECK(*position >= run.durable_by(operations));
}

// Simulates several power losses after each operation of a run.
void check_power_loss_at_every_operation(const DiskFiles& start, const StoreRun& run, unsigned times,
                                         std::mt19937_64& random) {
  DiskModel model(start);
  for (std::size_t operations = 0; operations <= run.trace.size(); ++operations) {
    CAPTURE(operations);
    for (unsigned time = 0; time < times; ++time) {
      check_opens(model.after_power_loss(random), run, operations);
    }
    if (operations < run.trace.size()) model.apply(run.trace[operations]);
  }
}

TEST_CASE("a power loss at any operation preserves durable batches and their atomicity") {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    SimulatedDisk disk;
    const StoreRun run = run_store(disk, 400, random);
    check_power_loss_at_every_operation({}, run, 2, random);
  }
}

TEST_CASE("a power loss during recovery from another, or in the run after it, preserves durable batches") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    SimulatedDisk first;
    const StoreRun before = run_store(first, 150, random);
    DiskModel model;
    const std::size_t power_loss_at = random() % (before.trace.size() + 1);
    for (std::size_t index = 0; index < power_loss_at; ++index) model.apply(before.trace[index]);
    const DiskFiles left = model.after_power_loss(random);
    SimulatedDisk second(left);
    const StoreRun after = run_store(second, 20, random);
    check_power_loss_at_every_operation(left, after, 2, random);
  }
}

TEST_CASE("repeated power losses preserve all durable batches") {
  std::mt19937_64 random(7);
  DiskFiles files;
  for (unsigned run_number = 0; run_number < 150; ++run_number) {
    CAPTURE(run_number);
    SimulatedDisk disk(files);
    const StoreRun run = run_store(disk, random() % 60, random);
    DiskModel model(files);
    const std::size_t power_loss_at = random() % (run.trace.size() + 1);
    for (std::size_t index = 0; index < power_loss_at; ++index) model.apply(run.trace[index]);
    files = model.after_power_loss(random);
    check_opens(files, run, power_loss_at);
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
