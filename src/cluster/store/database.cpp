#include "cluster/store/database.hpp"

#include <leveldb/write_batch.h>

#include <utility>

namespace winchhall::cluster {

namespace {

// Keys with this prefix are reserved for the store itself and hidden from its users.
const std::string kReservedPrefix = "meta/";
const std::string kFormatKey = kReservedPrefix + "format";
const std::string kReplacementKey = kReservedPrefix + "replaces_damaged";
const std::string kFormat = "1";

// Discards LevelDB's own log messages, which would take disk space.
class NullLogger : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

// Never destroyed: a detached writer thread may outlive `main`.
leveldb::Logger* null_logger() {
  static leveldb::Logger* const logger = new NullLogger;
  return logger;
}

leveldb::ReadOptions verified_read_options() {
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  options.fill_cache = false;
  return options;
}

}  // namespace

Database::Database(std::string path, Disk& disk, const StoreTuning& tuning)
    : path_(std::move(path)), env_(disk), block_cache_(leveldb::NewLRUCache(tuning.block_cache_bytes)) {}

leveldb::Options Database::make_options(const StoreTuning& tuning, OpenMode mode) {
  leveldb::Options options;
  options.create_if_missing = mode == OpenMode::create_if_missing;
  options.paranoid_checks = true;
  options.env = &env_;
  options.info_log = null_logger();
  options.write_buffer_size = tuning.write_buffer_bytes;
  options.max_file_size = tuning.file_bytes;
  options.max_open_files = tuning.open_files;
  options.block_cache = block_cache_.get();
  options.compression = leveldb::kNoCompression;
  return options;
}

leaf::error_id Database::make_error(const char* operation, const leveldb::Status& status) const {
  if (status.IsCorruption()) return leaf::new_error(StoreCorruption{path_, status.ToString()});
  return leaf::new_error(StoreFailure{path_, operation, status.ToString()});
}

leaf::result<std::unique_ptr<Database>> Database::open(const std::string& path, Disk& disk,
                                                       const StoreTuning& tuning, OpenMode mode) {
  std::unique_ptr<Database> database(new Database(path, disk, tuning));
  leveldb::DB* opened = nullptr;
  const leveldb::Status status = leveldb::DB::Open(database->make_options(tuning, mode), path, &opened);
  if (!status.ok()) return database->make_error("open", status);
  database->database_.reset(opened);
  BOOST_LEAF_CHECK(database->check_format());
  BOOST_LEAF_CHECK(database->read_replacement_marker());
  return database;
}

leaf::result<void> Database::check_format() {
  std::string found;
  const leveldb::Status read = database_->Get(verified_read_options(), kFormatKey, &found);
  if (!read.ok() && !read.IsNotFound()) return make_error("read", read);
  if (read.ok() && found == kFormat) return {};
  BOOST_LEAF_AUTO(in_use, has_entries());
  if (in_use) return leaf::new_error(UnsupportedStoreFormat{path_, found, kFormat});
  if (write({{kFormatKey, kFormat}})) return {};
  return leaf::new_error(StoreFailure{path_, "write", "format can't be written"});
}

leaf::result<bool> Database::has_entries() {
  const std::unique_ptr<leveldb::Iterator> entry(database_->NewIterator(verified_read_options()));
  entry->SeekToFirst();
  if (!entry->status().ok()) return make_error("read", entry->status());
  return entry->Valid();
}

leaf::result<void> Database::read_replacement_marker() {
  std::string found;
  const leveldb::Status read = database_->Get(verified_read_options(), kReplacementKey, &found);
  if (!read.ok() && !read.IsNotFound()) return make_error("read", read);
  replaces_damaged_ = read.ok();
  return {};
}

bool Database::record_replacement() {
  replaces_damaged_ = write({{kReplacementKey, "1"}});
  return replaces_damaged_;
}

bool Database::write(const StoreBatch& batch) {
  leveldb::WriteBatch changes;
  for (const StoreWrite& change : batch) {
    if (change.value) {
      changes.Put(change.key, *change.value);
    } else {
      changes.Delete(change.key);
    }
  }
  leveldb::WriteOptions options;
  options.sync = true;
  return batch.empty() || database_->Write(options, &changes).ok();
}

leaf::result<std::vector<StoreEntry>> Database::read_all() {
  std::vector<StoreEntry> entries;
  const std::unique_ptr<leveldb::Iterator> entry(database_->NewIterator(verified_read_options()));
  for (entry->SeekToFirst(); entry->Valid(); entry->Next()) {
    if (entry->key().starts_with(kReservedPrefix)) continue;
    entries.push_back({entry->key().ToString(), entry->value().ToString()});
  }
  if (!entry->status().ok()) return make_error("read", entry->status());
  return entries;
}

}  // namespace winchhall::cluster
