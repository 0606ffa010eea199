// The LevelDB store, and the commit queue on a store that fails.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <queue>

#include "cluster/consensus/commit_queue.hpp"
#include "cluster/store/leveldb_store.hpp"
#include "tests/cluster/support/sim_runtime.hpp"

namespace winchhall::cluster {
namespace {

// A directory that the destructor removes.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "store-test-XXXXXX").string();
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  std::string path(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// An event loop on the test's thread.
class TestLoop {
 public:
  PostToLoop poster() {
    return [this](std::function<void()> action) {
      const std::lock_guard lock(mutex_);
      actions_.push(std::move(action));
      action_queued_.notify_one();
    };
  }
  void run_one() {
    std::unique_lock lock(mutex_);
    action_queued_.wait(lock, [this] { return !actions_.empty(); });
    const std::function<void()> action = std::move(actions_.front());
    actions_.pop();
    lock.unlock();
    action();
  }

 private:
  std::mutex mutex_;
  std::condition_variable action_queued_;
  std::queue<std::function<void()>> actions_;
};

std::unique_ptr<LevelDbStore> open_store(const std::string& path, TestLoop& loop) {
  auto store = open_leveldb_store(path, loop.poster());
  REQUIRE(store);
  return std::move(store.value());
}

std::map<std::string, std::string> content(LevelDbStore& store) {
  std::map<std::string, std::string> found;
  store.load(
      [&](std::string_view key, std::string_view value) { found[std::string(key)] = std::string(value); });
  return found;
}

TEST_CASE("committed entries are present after the store is opened again") {
  const TemporaryDirectory directory;
  TestLoop loop;
  const std::string path = directory.path("deep/data");
  {
    const auto store = open_store(path, loop);
    CHECK(content(*store).empty());
    int durable = 0;
    const auto count = [&](CommitOutcome outcome) { durable += outcome == CommitOutcome::durable ? 1 : 0; };
    store->commit({{"a", "1"}, {"b", "2"}}, count);
    store->commit({{"b", std::nullopt}, {"c", std::string("3\0x", 3)}}, count);
    store->commit({}, count);
    while (durable < 3) loop.run_one();
  }
  const auto store = open_store(path, loop);
  const std::map<std::string, std::string> expected{{"a", "1"}, {"c", std::string("3\0x", 3)}};
  CHECK(content(*store) == expected);
}

TEST_CASE("commits end in the order in which they were issued") {
  const TemporaryDirectory directory;
  TestLoop loop;
  const auto store = open_store(directory.path("data"), loop);
  std::vector<int> ended;
  for (int number = 0; number < 500; ++number) {
    store->commit({{"key" + std::to_string(number), "value"}},
                  [&ended, number](CommitOutcome) { ended.push_back(number); });
  }
  while (ended.size() < 500) loop.run_one();
  CHECK(std::is_sorted(ended.begin(), ended.end()));
}

TEST_CASE("a store of an unknown format is not opened") {
  const TemporaryDirectory directory;
  TestLoop loop;
  const std::string path = directory.path("data");
  {
    const auto store = open_store(path, loop);
    bool ended = false;
    store->commit({{"meta/format", "9"}}, [&](CommitOutcome) { ended = true; });
    while (!ended) loop.run_one();
  }
  std::string found;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(open_leveldb_store(path, loop.poster()));
        return {};
      },
      [&](const UnsupportedStoreFormat& error) { found = error.found; }, [] {});
  CHECK(found == "9");
}

TEST_CASE("a directory that can't be created is a StoreFailure") {
  const TemporaryDirectory directory;
  TestLoop loop;
  std::ofstream(directory.path("file")) << "in the way";
  bool failed = false;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(open_leveldb_store(directory.path("file/data"), loop.poster()));
        return {};
      },
      [&](const StoreFailure&) { failed = true; }, [] {});
  CHECK(failed);
}

TEST_CASE(
    "after a disk failure a commit queue rewrites the batches in doubt, in order, before it calls any "
    "waiting "
    "callback") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    sim::Simulation simulation(seed);
    std::map<std::string, std::string> memory;
    std::vector<int> ended;
    std::shared_ptr<CommitQueue> commit_queue;
    sim::SimNode& node = simulation.add_node("10.0.0.1:7000", [&](sim::SimNode& self) {
      commit_queue = std::make_shared<CommitQueue>(self, self.store());
      return sim::SimNode::Program{nullptr,
                                   [](const wire::Envelope&, const ReplyCallback&) { return false; }};
    });
    node.start();
    const auto stored = [&] {
      std::map<std::string, std::string> found;
      node.store().load([&](std::string_view key, std::string_view value) {
        found[std::string(key)] = std::string(value);
      });
      return found;
    };
    for (int number = 0; number < 60; ++number) {
      if (simulation.chance(0.2)) node.refuse_writes(simulation.chance(0.6));
      const std::string key = "key" + std::to_string(simulation.random_between(0, 5));
      memory[key] = std::to_string(number);
      commit_queue->commit({{key, memory[key]}}, [&, number, key, least = number] {
        ended.push_back(number);
        // Durable: this version or a later one.
        REQUIRE(std::stoi(stored().at(key)) >= least);
      });
      simulation.run_for(Millis(simulation.random_between(0, 12)));
    }
    node.refuse_writes(false);
    REQUIRE(simulation.run_until([&] { return ended.size() == 60; }, Millis(5000)));
    CHECK(std::is_sorted(ended.begin(), ended.end()));
    CHECK(stored() == memory);
    commit_queue.reset();
  }
}

}  // namespace
}  // namespace winchhall::cluster
