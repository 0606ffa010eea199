// Durable store of a control node on LevelDB. A thread of its own writes and syncs; the event loop never
// waits for the disk.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/store/database.hpp"
#include "cluster/store/store.hpp"
#include "cluster/store/store_writer.hpp"

namespace winchhall::cluster {

class LevelDbStore : public DurableStore {
 public:
  // Takes over a writer and what its database held; see `open_leveldb_store`.
  LevelDbStore(std::shared_ptr<StoreWriter> writer, std::vector<StoreEntry> entries, bool replaces_damaged);
  // Batches that still wait are dropped. Waits for the write that is under way, but not for a disk that hangs
  // longer than StoreTuning::shutdown_timeout.
  ~LevelDbStore() override;

  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) override;
  void load(const std::function<void(std::string_view key, std::string_view value)>& visit) override;

  // True if a damaged store was set aside here: this node must not found a group, as it may have been part of
  // one.
  bool replaces_damaged() const { return replaces_damaged_; }

 private:
  const std::shared_ptr<StoreWriter> writer_;
  std::vector<StoreEntry> entries_;
  const bool replaces_damaged_;
};

// Opens the store in a folder, which is made where it is missing; a damaged one is set aside, with an empty
// one in its place. Errors: StoreFailure (may pass; try again), UnsupportedStoreFormat.
leaf::result<std::unique_ptr<LevelDbStore>> open_leveldb_store(const std::string& path,
                                                               PostToLoop post_to_loop,
                                                               Disk& disk = local_disk(),
                                                               const StoreTuning& tuning = {});

}  // namespace winchhall::cluster
