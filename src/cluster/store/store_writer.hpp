// The writer thread of a store: group commit, and reopening of a database that failed.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// Runs an action on the event loop. Called from the writer thread; must not block.
using PostToLoop = std::function<void(std::function<void()>)>;

// Owns the writer thread, the open database and the queue of pending commits. Shared with its thread, which
// outlives the owner if the disk hangs during shutdown. `start`, `commit` and `stop` are called on the event
// loop's thread.
class StoreWriter : public std::enable_shared_from_this<StoreWriter> {
 public:
  // `disk` must outlive the writer thread.
  StoreWriter(std::string path, Disk& disk, const StoreTuning& tuning, PostToLoop post_to_loop);

  // Starts the thread, which is the only user of the database from then on.
  void start(std::unique_ptr<Database> database);
  // Discards pending commits and waits for the thread, or detaches it after StoreTuning::shutdown_timeout.
  // Nothing is posted to the event loop after this returns.
  void stop();
  // Queues a batch; `done` is posted to the event loop with the outcome.
  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done);

 private:
  struct PendingCommit {
    StoreBatch batch;
    std::function<void(CommitOutcome)> done;
  };

  void run(std::unique_ptr<Database> database);
  // Waits for commits and takes them all; empty: the writer is stopping.
  std::vector<PendingCommit> take_pending();
  // Reopens the database after a failed write, since it accepts no further writes. Null: the writer is
  // stopping.
  std::unique_ptr<Database> reopen_until_stopped();
  std::unique_ptr<Database> try_reopen();
  void post_outcome(std::vector<PendingCommit> group, CommitOutcome outcome);

  const std::string path_;
  Disk& disk_;
  const StoreTuning tuning_;
  const PostToLoop post_to_loop_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  std::vector<PendingCommit> pending_;  // guarded by mutex_
  bool stopping_ = false;               // guarded by mutex_
  bool thread_finished_ = false;        // guarded by mutex_
  std::thread thread_;
};

}  // namespace winchhall::cluster
