// The thread that writes a store: all that wait are synced together; a database that failed is opened again.
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

// Runs an action on the event loop. Called from the store's thread, must not wait.
using PostToLoop = std::function<void(std::function<void()>)>;

// Shared with its thread, which may outlive its owner on a disk that hangs.
class StoreWriter : public std::enable_shared_from_this<StoreWriter> {
 public:
  StoreWriter(std::string path, Disk& disk, const StoreTuning& tuning, PostToLoop post_to_loop);

  // Starts the thread, which alone uses the database from now on.
  void start(std::unique_ptr<Database> database);
  // Ends the thread, or leaves it behind if the disk hangs. Nothing is posted to the loop afterwards.
  void stop();
  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done);

 private:
  struct PendingCommit {
    StoreBatch batch;
    std::function<void(CommitOutcome)> done;
  };

  void run(std::unique_ptr<Database> database);
  std::vector<PendingCommit> take_pending();
  // After a failed write LevelDB takes no more. Null: the store ends.
  std::unique_ptr<Database> reopen_until_stopped();
  std::unique_ptr<Database> try_to_open();
  void report(std::vector<PendingCommit> group, CommitOutcome outcome);

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
