// Shared by the tests of the store: an event loop on the test's thread, and helpers to commit and to read.
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

// Makes a store wait for its writer thread even on a busy machine: a detached thread could outlive the
// simulated disk.
inline StoreTuning tuning_with_long_shutdown_timeout() {
  StoreTuning tuning;
  tuning.shutdown_timeout = std::chrono::seconds(60);
  return tuning;
}

// An event loop that queues posted actions until the test runs them.
class TestLoop {
 public:
  PostToLoop poster() {
    return [this](std::function<void()> action) {
      const std::lock_guard lock(mutex_);
      actions_.push(std::move(action));
      action_queued_.notify_one();
    };
  }
  // Blocks until an action is queued, and runs it.
  void run_one() {
    std::unique_lock lock(mutex_);
    action_queued_.wait(lock, [this] { return !actions_.empty(); });
    const std::function<void()> action = std::move(actions_.front());
    actions_.pop();
    lock.unlock();
    action();
  }
  bool is_idle() {
    const std::lock_guard lock(mutex_);
    return actions_.empty();
  }

 private:
  std::mutex mutex_;
  std::condition_variable action_queued_;
  std::queue<std::function<void()>> actions_;
};

// Keys and values that a store is expected to hold, or was found to hold.
using Content = std::map<std::string, std::string>;

inline Content load_content(LevelDbStore& store) {
  Content found;
  store.load([&](std::string_view key, std::string_view value) { found.emplace(key, value); });
  return found;
}

// Commits a batch and waits for the outcome.
inline CommitOutcome commit(LevelDbStore& store, TestLoop& loop, StoreBatch batch) {
  std::optional<CommitOutcome> outcome;
  store.commit(std::move(batch), [&](CommitOutcome reported) { outcome = reported; });
  while (!outcome) loop.run_one();
  return *outcome;
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
