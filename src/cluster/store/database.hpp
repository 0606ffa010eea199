// A LevelDB database with the store's on-disk format, synchronous writes and checksum verification.
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

// Limits on disk and memory use, and time-outs. tests/cluster/store/size_test.cpp measures the disk usage
// that results from the sizes.
struct StoreTuning {
  std::size_t write_buffer_bytes = 1 << 20;
  std::size_t file_bytes = 1 << 20;
  std::size_t block_cache_bytes = 128 << 10;
  int open_files = 74;  // LevelDB's minimum: 64 tables with one descriptor each, and 10 other files
  std::chrono::milliseconds reopen_delay{100};      // between attempts to reopen a failed database
  std::chrono::milliseconds shutdown_timeout{100};  // for a write in progress; then its thread is detached
};

struct StoreEntry {
  std::string key;
  std::string value;
};

enum class OpenMode { create_if_missing, existing };  // `existing` fails if there is no database

// Owns an open LevelDB database. Not thread-safe: used by one thread at a time.
class Database {
 public:
  // Opens the database in an existing directory. `disk` must outlive the database.
  // Errors: StoreFailure (an I/O error, possibly transient), StoreCorruption, UnsupportedStoreFormat.
  static leaf::result<std::unique_ptr<Database>> open(const std::string& path, Disk& disk,
                                                      const StoreTuning& tuning, OpenMode mode);

  // Writes a batch atomically and syncs it. After false it is unknown whether the batch is durable, and the
  // database accepts no further writes: it must be reopened.
  bool write(const StoreBatch& batch);
  // Reads all entries in key order, without the store's reserved ones, verifying every block's checksum.
  // Errors: as for `open`.
  leaf::result<std::vector<StoreEntry>> read_all();

  // True if this database was created in place of a damaged one.
  bool replaces_damaged() const { return replaces_damaged_; }
  // Records that this database replaces a damaged one. Returns true once the record is durable.
  bool record_replacement();

 private:
  Database(std::string path, Disk& disk, const StoreTuning& tuning);

  leveldb::Options make_options(const StoreTuning& tuning, OpenMode mode);
  // Verifies the format entry, or writes it into an empty database.
  leaf::result<void> check_format();
  leaf::result<bool> has_entries();
  leaf::result<void> read_replacement_marker();
  // StoreCorruption for a corruption, StoreFailure for any other status.
  leaf::error_id make_error(const char* operation, const leveldb::Status& status) const;

  const std::string path_;
  SyncedEnv env_;
  const std::unique_ptr<leveldb::Cache> block_cache_;
  std::unique_ptr<leveldb::DB> database_;
  bool replaces_damaged_ = false;
};

}  // namespace winchhall::cluster
