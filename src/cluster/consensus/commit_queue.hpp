// The queue of one node's writes to its store: in order, with retries after a failure.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/store/store.hpp"

namespace winchhall::cluster {

// The components of a node change their state in memory first and answer a request only from `on_durable`.
//
// Invariant: `on_durable` of a batch is called only once that batch and all batches committed before it are
// durable. So everything that the node held in memory when it prepared a positive answer is durable when the
// answer is sent.
//
// After a failed commit it is unknown whether the batch and those behind it are durable ("in doubt"). After a
// pause all of them are written again, in their order and before any new batch, until the store accepts them.
// Their callbacks are delayed until then.
class CommitQueue {
 public:
  // Both references must outlive this object.
  CommitQueue(Runtime& runtime, DurableStore& store);

  // Calls `on_durable` once this batch and all before it are durable, unless this object is destroyed before
  // that.
  void commit(StoreBatch batch, std::function<void()> on_durable = {});
  // Calls `on_durable` once all batches so far are durable: from within this function if they already are.
  void barrier(std::function<void()> on_durable);
  // True while more than kMaxWaitingBytes wait for the disk, so that no further requests should be accepted.
  bool overloaded() const { return waiting_bytes_ > kMaxWaitingBytes; }

 private:
  static constexpr std::size_t kMaxWaitingBytes = 16u << 20;  // bounds the memory used while a disk hangs

  struct Entry {
    StoreBatch batch;
    std::function<void()> on_durable;
    std::size_t bytes = 0;
  };

  void issue(Entry entry);
  void on_committed(CommitOutcome outcome);
  void schedule_recovery();
  void recover();

  Runtime& runtime_;
  DurableStore& store_;
  std::deque<Entry> outstanding_;  // passed to the store, not completed
  std::vector<Entry> in_doubt_;    // to be written again
  std::vector<Entry> queued_;      // to be written after those in doubt
  std::size_t waiting_bytes_ = 0;  // keys and values of the three lists above
  bool recovering_ = false;        // since a failure, until the batches in doubt are issued again
  std::unique_ptr<Timer> recovery_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace winchhall::cluster
