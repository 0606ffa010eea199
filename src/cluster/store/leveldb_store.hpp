// The durable store of a control node on LevelDB. A writer thread does all disk access after opening, so that
// the event loop never waits for the disk.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/store/database.hpp"
#include "cluster/store/store.hpp"
#include "cluster/store/store_writer.hpp"

namespace winchhall::cluster {

// Owns the writer, and the entries read at opening until `load` has visited them.
class LevelDbStore : public DurableStore {
 public:
  // Takes ownership of a started writer and of the entries read from its database; see `open_leveldb_store`.
  LevelDbStore(std::shared_ptr<StoreWriter> writer, std::vector<StoreEntry> entries, bool replaces_damaged);
  // Discards pending commits. Waits for a write in progress, at most StoreTuning::shutdown_timeout.
  ~LevelDbStore() override;

  void commit(StoreBatch batch, std::function<void(CommitOutcome)> done) override;
  void load(const std::function<void(std::string_view key, std::string_view value)>& visit) override;

  // True if a damaged store in this directory was replaced, now or at an earlier start. This node must then
  // not bootstrap a control group, since it may have been a member of one.
  bool replaces_damaged() const { return replaces_damaged_; }

 private:
  const std::shared_ptr<StoreWriter> writer_;
  std::vector<StoreEntry> entries_;
  const bool replaces_damaged_;
};

// Opens the store in a directory, creating both if missing. The files of a damaged store are moved away, and
// an empty store is created (see database_replacement.hpp). `disk` must outlive the writer thread. Errors:
// StoreFailure (possibly transient: retry), UnsupportedStoreFormat.
leaf::result<std::unique_ptr<LevelDbStore>> open_leveldb_store(const std::string& path,
                                                               PostToLoop post_to_loop,
                                                               Disk& disk = local_disk(),
                                                               const StoreTuning& tuning = {});

}  // namespace winchhall::cluster
