// Writes of one node to its store, in order. A positive answer that waits for the journal is given only if
// everything that the node held in memory at that time is durable.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/store/store.hpp"

namespace winchhall::cluster {

// After a failed commit the batches behind it are in doubt, too: all are written once more, in their order
// and before anything new, until the store takes them; what waits for them goes on waiting.
class CommitQueue {
 public:
  CommitQueue(Runtime& runtime, DurableStore& store);

  // Calls `on_durable` once this batch and all before it are durable.
  void commit(StoreBatch batch, std::function<void()> on_durable = {});
  // Calls `on_durable` once all batches so far are durable, at once if they are.
  void barrier(std::function<void()> on_durable);
  // True while so much waits for the disk that nothing more should be taken on.
  bool overloaded() const { return waiting_bytes_ > kMostWaitingBytes; }

 private:
  static constexpr std::size_t kMostWaitingBytes = 16u << 20;

  struct Entry {
    StoreBatch batch;
    std::function<void()> on_durable;
    std::size_t bytes = 0;
  };

  void issue(Entry entry);
  void ended(CommitOutcome outcome);
  void schedule_recovery();
  void recover();

  Runtime& runtime_;
  DurableStore& store_;
  std::deque<Entry> outstanding_;  // given to the store
  std::vector<Entry> doubtful_;    // to be written once more
  std::vector<Entry> held_;        // not given to the store before that
  std::size_t waiting_bytes_ = 0;  // of all three
  bool recovering_ = false;
  std::unique_ptr<Timer> recovery_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace winchhall::cluster
