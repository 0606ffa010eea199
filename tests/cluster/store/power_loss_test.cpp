// Losses of power at every operation on the disk: whatever was reported durable is there, and no batch is
// there in part.
#include <catch2/catch.hpp>

#include "tests/cluster/store/store_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kFolder = "/data";
const std::string kLast = "last";

// Small files, so that the log, the tables and the MANIFEST change often.
StoreTuning small_files() {
  StoreTuning tuning = tuning_with_long_shutdown_timeout();
  tuning.write_buffer_bytes = 64 << 10;
  return tuning;
}

// All that may be found: the content after each batch, in order.
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
  // The newest state that equals what was found; none: some batch is there in part.
  std::optional<std::size_t> position(const Content& found) const {
    for (std::size_t index = states_.size(); index-- > 0;) {
      if (states_[index] == found) return index;
    }
    return std::nullopt;
  }

 private:
  std::vector<Content> states_;
};

// A batch of several keys, some of them removed; now and then one that takes several blocks of a log.
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

// One life of a store: what it did to its disk, and what was durable by when.
struct Life {
  explicit Life(const Content& start) : history(start) {}
  History history;
  std::vector<DiskOperation> trace;
  std::vector<std::pair<std::size_t, std::size_t>> durable;  // (operations by then, position)

  std::size_t durable_by(std::size_t operations) const {
    std::size_t position = 0;
    for (const auto& [by, committed] : durable) {
      if (by <= operations) position = std::max(position, committed);
    }
    return position;
  }
};

std::unique_ptr<LevelDbStore> opened(SimulatedDisk& disk, PostToLoop poster) {
  auto store = open_leveldb_store(kFolder, std::move(poster), disk, small_files());
  REQUIRE(store);
  CHECK_FALSE(store.value()->replaces_damaged());
  return std::move(store.value());
}

// Commits `count` batches, several at a time. A batch is durable when its end is posted by the store's
// thread.
Life live(SimulatedDisk& disk, std::size_t count, std::mt19937_64& random) {
  TestLoop loop;
  std::size_t posted_at = 0;
  std::mutex mutex;
  const PostToLoop post = loop.poster();
  const PostToLoop note_and_post = [&](std::function<void()> action) {
    const std::size_t now = disk.operations();
    post([&posted_at, now, action = std::move(action)] {
      posted_at = now;
      action();
    });
  };
  const std::unique_ptr<LevelDbStore> store = opened(disk, note_and_post);
  Life life(content(*store));
  std::size_t waiting = 0;
  for (std::size_t number = 0; number < count; ++number) {
    const std::string name = std::to_string(random());
    const StoreBatch batch = random_batch(random, name);
    const std::size_t position = life.history.add(batch);
    ++waiting;
    store->commit(batch, [&, position](CommitOutcome outcome) {
      REQUIRE(outcome == CommitOutcome::durable);
      life.durable.emplace_back(posted_at, position);
      --waiting;
    });
    const bool await = random() % 3 == 0;
    while (await && waiting > 0) loop.run_one();
  }
  while (waiting > 0) loop.run_one();
  life.trace = disk.trace();
  return life;
}

void check_opens(const DiskFiles& files, const Life& life, std::size_t operations) {
  SimulatedDisk disk(files);
  TestLoop loop;
  const std::unique_ptr<LevelDbStore> store = opened(disk, loop.poster());
  const std::optional<std::size_t> position = life.history.position(content(*store));
  REQUIRE(position);
  CHECK(*position >= life.durable_by(operations));
}

// Cuts the power after each operation of a life, some times over.
void cut_everywhere(const DiskFiles& start, const Life& life, unsigned times, std::mt19937_64& random) {
  DiskModel model(start);
  for (std::size_t operations = 0; operations <= life.trace.size(); ++operations) {
    CAPTURE(operations);
    for (unsigned time = 0; time < times; ++time) {
      check_opens(model.after_power_loss(random), life, operations);
    }
    if (operations < life.trace.size()) model.apply(life.trace[operations]);
  }
}

TEST_CASE("a loss of power at any operation leaves whole batches, and all that were durable") {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    SimulatedDisk disk;
    const Life life = live(disk, 400, random);
    cut_everywhere({}, life, 2, random);
  }
}

TEST_CASE("so does a loss of power while a store recovers from another, and in the life after it") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    SimulatedDisk first;
    const Life before = live(first, 150, random);
    DiskModel model;
    const std::size_t cut = random() % (before.trace.size() + 1);
    for (std::size_t index = 0; index < cut; ++index) model.apply(before.trace[index]);
    const DiskFiles left = model.after_power_loss(random);
    SimulatedDisk second(left);
    const Life after = live(second, 20, random);
    cut_everywhere(left, after, 2, random);
  }
}

TEST_CASE("losses of power one after the other leave all that was durable") {
  std::mt19937_64 random(7);
  DiskFiles files;
  for (unsigned life_number = 0; life_number < 150; ++life_number) {
    CAPTURE(life_number);
    SimulatedDisk disk(files);
    const Life life = live(disk, random() % 60, random);
    DiskModel model(files);
    const std::size_t cut = random() % (life.trace.size() + 1);
    for (std::size_t index = 0; index < cut; ++index) model.apply(life.trace[index]);
    files = model.after_power_loss(random);
    check_opens(files, life, cut);
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
