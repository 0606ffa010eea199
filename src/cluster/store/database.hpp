// A LevelDB database with the format and the file operations of the store.
#pragma once

#include <leveldb/cache.h>
#include <leveldb/db.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "cluster/store/store.hpp"
#include "cluster/store/synced_env.hpp"

namespace winchhall::cluster {

// Sizes that bound disk and memory, measured by tests/cluster/store/size_test.cpp, and times.
struct StoreTuning {
  std::size_t write_buffer_bytes = 1 << 20;
  std::size_t file_bytes = 1 << 20;
  std::size_t block_cache_bytes = 128 << 10;
  int open_files = 74;  // the least that LevelDB allows: 64 tables, one descriptor each, and 10 others
  std::chrono::milliseconds reopen_delay{100};  // between attempts to open a database that failed
  std::chrono::milliseconds shutdown_timeout{
      100};  // for the disk, at the end; then its thread is left behind
};

struct StoreEntry {
  std::string key;
  std::string value;
};

enum class OpenMode { create_if_missing, existing };

class Database {
 public:
  // Opens a database in an existing folder. Errors: StoreFailure (the disk refused; may pass),
  // StoreCorruption, UnsupportedStoreFormat.
  static leaf::result<std::unique_ptr<Database>> open(const std::string& path, Disk& disk,
                                                      const StoreTuning& tuning, OpenMode mode);

  // Writes and syncs a batch whole. False: it may or may not be durable, and the database takes no more.
  bool write(const StoreBatch& batch);
  // All entries in the order of their keys but the store's own, each block checked against its checksum.
  // Errors: as for `open`.
  leaf::result<std::vector<StoreEntry>> read_all();

  // True if this database was made in place of a damaged one.
  bool replaces_damaged() const { return replaces_damaged_; }
  // Notes that; durable once true is returned.
  bool mark_replacement();

 private:
  Database(std::string path, Disk& disk, const StoreTuning& tuning);

  leveldb::Options options(const StoreTuning& tuning, OpenMode mode);
  leaf::result<void> check_format();
  leaf::result<bool> has_entries();
  leaf::result<void> read_replacement_marker();
  leaf::error_id failure(const char* operation, const leveldb::Status& status) const;

  const std::string path_;
  SyncedEnv env_;
  const std::unique_ptr<leveldb::Cache> block_cache_;
  std::unique_ptr<leveldb::DB> database_;
  bool replaces_damaged_ = false;
};

}  // namespace winchhall::cluster
