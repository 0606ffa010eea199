// Durable store of a control node on LevelDB. A thread of its own writes and syncs; the event loop never
// waits for the disk.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster/store/store.hpp"
#include "cluster/store/synced_env.hpp"

namespace leveldb {
class DB;
}

namespace winchhall::cluster {

// Runs an action on the event loop. Called from the store's thread.
using PostToLoop = std::function<void(std::function<void()>)>;

class LevelStore : public DurableStore {
 public:
  // Takes over an opened database; see `open_level_store`.
  LevelStore(std::string path, std::unique_ptr<SyncedEnv> env, std::unique_ptr<leveldb::DB> database,
             PostToLoop post_to_loop);
  // Ends after the write that is under way; batches that still wait are dropped.
  ~LevelStore() override;

  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) override;
  void load(const std::function<void(std::string_view key, std::string_view value)>& visit) override;

 private:
  struct Waiting {
    StoreBatch batch;
    std::function<void(CommitOutcome)> done;
  };

  void run();
  std::vector<Waiting> take_waiting();
  bool write(const std::vector<Waiting>& group);
  // Closes and opens the database until that works or the store ends: after a failed write LevelDB takes no
  // more.
  void reopen();
  bool stopping();
  void report(std::vector<Waiting> group, CommitOutcome outcome);

  const std::string path_;
  const std::unique_ptr<SyncedEnv> env_;
  std::unique_ptr<leveldb::DB> database_;
  const PostToLoop post_to_loop_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<Waiting> waiting_;  // guarded by mutex_
  bool stopping_ = false;         // guarded by mutex_
  std::thread thread_;
};

// Opens the store in a folder, which is made where it is missing. Errors: StoreFailure (may pass; try again),
// UnknownStoreFormat.
leaf::result<std::unique_ptr<LevelStore>> open_level_store(const std::string& path, PostToLoop post_to_loop);

}  // namespace winchhall::cluster
