// Stores in tests: an event loop on the test's own thread, batches that can be told apart.
#pragma once

#include <catch2/catch.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>

#include "cluster/store/leveldb_store.hpp"
#include "tests/cluster/support/simulated_disk.hpp"

namespace winchhall::cluster::sim {

// A store whose end is waited for however busy the machine is: a thread left behind would outlive the
// simulated disk.
inline StoreTuning tuning_with_long_shutdown_timeout() {
  StoreTuning tuning;
  tuning.shutdown_timeout = std::chrono::seconds(60);
  return tuning;
}

class TestLoop {
 public:
  PostToLoop poster() {
    return [this](std::function<void()> action) {
      const std::lock_guard lock(mutex_);
      actions_.push(std::move(action));
      wake_.notify_one();
    };
  }
  void run_one() {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return !actions_.empty(); });
    const std::function<void()> action = std::move(actions_.front());
    actions_.pop();
    lock.unlock();
    action();
  }
  bool idle() {
    const std::lock_guard lock(mutex_);
    return actions_.empty();
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::queue<std::function<void()>> actions_;
};

using Content = std::map<std::string, std::string>;

inline Content content(LevelDbStore& store) {
  Content found;
  store.load([&](std::string_view key, std::string_view value) { found.emplace(key, value); });
  return found;
}

// Commits a batch and waits for its end.
inline CommitOutcome commit(LevelDbStore& store, TestLoop& loop, StoreBatch batch) {
  std::optional<CommitOutcome> ended;
  store.commit(std::move(batch), [&](CommitOutcome outcome) { ended = outcome; });
  while (!ended) loop.run_one();
  return *ended;
}

inline void apply_batch(Content& content, const StoreBatch& batch) {
  for (const StoreWrite& write : batch) {
    if (write.value) {
      content[write.key] = *write.value;
    } else {
      content.erase(write.key);
    }
  }
}

}  // namespace winchhall::cluster::sim
