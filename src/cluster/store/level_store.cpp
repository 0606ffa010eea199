#include "cluster/store/level_store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <chrono>
#include <filesystem>
#include <utility>

namespace winchhall::cluster {

namespace {

constexpr std::size_t kWriteBufferBytes = 1 << 20;
constexpr std::size_t kFileBytes = 1 << 20;
constexpr int kOpenFiles = 64;
constexpr std::chrono::milliseconds kReopenPause{100};
const std::string kFormatKey = "meta/format";
const std::string kFormat = "1";

// Drops LevelDB's own log lines: they would cost disk.
class SilentLogger : public leveldb::Logger {
 public:
  void Logv(const char*, std::va_list) override {}
};

leveldb::Options database_options(leveldb::Env& env) {
  static SilentLogger logger;
  leveldb::Options options;
  options.create_if_missing = true;
  options.env = &env;
  options.info_log = &logger;
  options.write_buffer_size = kWriteBufferBytes;
  options.max_file_size = kFileBytes;
  options.max_open_files = kOpenFiles;
  options.compression = leveldb::kNoCompression;
  return options;
}

std::unique_ptr<leveldb::DB> open_database(const std::string& path, leveldb::Env& env,
                                           leveldb::Status& status) {
  leveldb::DB* database = nullptr;
  status = leveldb::DB::Open(database_options(env), path, &database);
  return std::unique_ptr<leveldb::DB>(database);
}

// Makes the folder so that it lasts through a loss of power. False: the disk refused.
bool make_folder(const std::string& path) {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  if (error) return false;
  const std::filesystem::path parent =
      std::filesystem::absolute(path, error).lexically_normal().parent_path();
  sync_folder(parent.string());  // The parent may lie outside of what this process may sync.
  return true;
}

leveldb::Status write_synced(leveldb::DB& database, leveldb::WriteBatch& batch) {
  leveldb::WriteOptions options;
  options.sync = true;
  return database.Write(options, &batch);
}

// Checks the mark of the format, and sets it in a new database.
leaf::result<void> check_format(leveldb::DB& database, const std::string& path) {
  std::string found;
  const leveldb::Status read = database.Get(leveldb::ReadOptions(), kFormatKey, &found);
  if (read.ok()) {
    if (found == kFormat) return {};
    return leaf::new_error(UnknownStoreFormat{path, found, kFormat});
  }
  if (!read.IsNotFound()) return leaf::new_error(StoreFailure{path, "read", read.ToString()});
  leveldb::WriteBatch batch;
  batch.Put(kFormatKey, kFormat);
  const leveldb::Status written = write_synced(database, batch);
  if (!written.ok()) return leaf::new_error(StoreFailure{path, "write", written.ToString()});
  return {};
}

}  // namespace

leaf::result<std::unique_ptr<LevelStore>> open_level_store(const std::string& path, PostToLoop post_to_loop) {
  if (!make_folder(path)) return leaf::new_error(StoreFailure{path, "create", "folder can't be made"});
  auto env = std::make_unique<SyncedEnv>();
  leveldb::Status status;
  std::unique_ptr<leveldb::DB> database = open_database(path, *env, status);
  if (!database) return leaf::new_error(StoreFailure{path, "open", status.ToString()});
  BOOST_LEAF_CHECK(check_format(*database, path));
  sync_folder(path);
  return std::make_unique<LevelStore>(path, std::move(env), std::move(database), std::move(post_to_loop));
}

LevelStore::LevelStore(std::string path, std::unique_ptr<SyncedEnv> env,
                       std::unique_ptr<leveldb::DB> database, PostToLoop post_to_loop)
    : path_(std::move(path)),
      env_(std::move(env)),
      database_(std::move(database)),
      post_to_loop_(std::move(post_to_loop)),
      thread_([this] { run(); }) {}

LevelStore::~LevelStore() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void LevelStore::commit(StoreBatch batch, std::function<void(CommitOutcome)> done) {
  {
    const std::lock_guard lock(mutex_);
    waiting_.push_back({std::move(batch), std::move(done)});
  }
  wake_.notify_one();
}

void LevelStore::load(const std::function<void(std::string_view key, std::string_view value)>& visit) {
  // The thread touches the database only once a commit was given, and `load` comes before all commits.
  const std::unique_ptr<leveldb::Iterator> entry(database_->NewIterator(leveldb::ReadOptions()));
  for (entry->SeekToFirst(); entry->Valid(); entry->Next()) {
    const leveldb::Slice key = entry->key();
    const leveldb::Slice value = entry->value();
    if (key == leveldb::Slice(kFormatKey)) continue;
    visit(std::string_view(key.data(), key.size()), std::string_view(value.data(), value.size()));
  }
}

void LevelStore::run() {
  for (std::vector<Waiting> group = take_waiting(); !group.empty(); group = take_waiting()) {
    if (!database_) reopen();
    const bool written = database_ && write(group);
    if (!written) database_.reset();
    report(std::move(group), written ? CommitOutcome::durable : CommitOutcome::failed);
  }
}

std::vector<LevelStore::Waiting> LevelStore::take_waiting() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
  if (stopping_) return {};
  return std::exchange(waiting_, {});
}

bool LevelStore::write(const std::vector<Waiting>& group) {
  leveldb::WriteBatch batch;
  bool anything = false;
  for (const Waiting& waiting : group) {
    for (const StoreWrite& change : waiting.batch) {
      anything = true;
      if (change.value) {
        batch.Put(change.key, *change.value);
      } else {
        batch.Delete(change.key);
      }
    }
  }
  return !anything || write_synced(*database_, batch).ok();
}

void LevelStore::reopen() {
  while (!database_ && !stopping()) {
    leveldb::Status status;
    database_ = open_database(path_, *env_, status);
    if (!database_) std::this_thread::sleep_for(kReopenPause);
  }
}

bool LevelStore::stopping() {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

void LevelStore::report(std::vector<Waiting> group, CommitOutcome outcome) {
  post_to_loop_([group = std::make_shared<std::vector<Waiting>>(std::move(group)), outcome] {
    for (Waiting& waiting : *group) waiting.done(outcome);
  });
}

}  // namespace winchhall::cluster
