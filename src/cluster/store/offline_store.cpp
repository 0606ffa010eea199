#include "cluster/store/offline_store.hpp"

#include <leveldb/helpers/memenv.h>

#include <algorithm>

#include "cluster/store/database_replacement.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::size_t kEntriesPerBatch = 1000;

class MemoryDisk : public Disk {
 public:
  leveldb::Env& files() override { return *files_; }
  bool create_directories(const std::string&) override { return true; }
  bool sync_directory(const std::string&) override { return true; }

 private:
  const std::unique_ptr<leveldb::Env> files_{leveldb::NewMemEnv(leveldb::Env::Default())};
};

// Holds LevelDB's lock of a folder, if there is one to hold.
class DatabaseLock {
 public:
  DatabaseLock(leveldb::Env& files, const std::string& path) : files_(files) {
    const std::string lock = path + "/LOCK";
    if (files_.FileExists(lock)) status_ = files_.LockFile(lock, &lock_);
  }
  ~DatabaseLock() {
    if (lock_) files_.UnlockFile(lock_);
  }
  const leveldb::Status& status() const { return status_; }

 private:
  leveldb::Env& files_;
  leveldb::FileLock* lock_ = nullptr;
  leveldb::Status status_;
};

leaf::error_id failure(const std::string& path, const char* operation, const leveldb::Status& status) {
  return leaf::new_error(StoreFailure{path, operation, status.ToString()});
}

leaf::result<void> copy_file(const std::string& path, leveldb::Env& from, leveldb::Env& to) {
  std::string content;
  const leveldb::Status read = leveldb::ReadFileToString(&from, path, &content);
  if (!read.ok()) return failure(path, "read", read);
  const leveldb::Status written = leveldb::WriteStringToFile(&to, content, path);
  if (!written.ok()) return failure(path, "copy", written);
  return {};
}

bool is_database_file(const std::string& name) {
  return name == "CURRENT" || name.starts_with("MANIFEST-") || name.ends_with(".log") ||
         name.ends_with(".ldb") || name.ends_with(".sst");
}

leaf::result<void> copy_database_files(const std::string& path, leveldb::Env& from, leveldb::Env& to) {
  std::vector<std::string> names;
  const leveldb::Status listed = from.GetChildren(path, &names);
  if (!listed.ok()) return failure(path, "list", listed);
  for (const std::string& name : names) {
    if (is_database_file(name)) BOOST_LEAF_CHECK(copy_file(path + "/" + name, from, to));
  }
  return {};
}

bool is_empty(const std::string& path, Disk& disk) {
  std::vector<std::string> names;
  disk.files().GetChildren(path, &names);
  return std::all_of(names.begin(), names.end(),
                     [](const std::string& name) { return name == "." || name == ".."; });
}

}  // namespace

leaf::result<std::vector<StoreEntry>> read_offline_store(const std::string& path, Disk& disk) {
  const DatabaseLock lock(disk.files(), path);
  if (!lock.status().ok()) return failure(path, "lock", lock.status());
  if (needs_replacement(path, disk)) return leaf::new_error(StoreCorruption{path, "files are missing"});
  MemoryDisk memory;
  BOOST_LEAF_CHECK(copy_database_files(path, disk.files(), memory.files()));
  BOOST_LEAF_AUTO(database, Database::open(path, memory, {}, OpenMode::existing));
  return database->read_all();
}

leaf::result<void> create_offline_store(const std::string& path, const std::vector<StoreEntry>& entries,
                                        Disk& disk) {
  if (!disk.create_directories(path))
    return leaf::new_error(StoreFailure{path, "create", "folder can't be made"});
  if (!is_empty(path, disk)) return leaf::new_error(StoreFailure{path, "create", "folder is not empty"});
  BOOST_LEAF_AUTO(database, Database::open(path, disk, {}, OpenMode::create_if_missing));
  for (std::size_t start = 0; start < entries.size(); start += kEntriesPerBatch) {
    StoreBatch batch;
    const std::size_t end = std::min(entries.size(), start + kEntriesPerBatch);
    for (std::size_t index = start; index < end; ++index) {
      batch.push_back({entries[index].key, entries[index].value});
    }
    if (!database->write(batch)) return leaf::new_error(StoreFailure{path, "write", "disk refused"});
  }
  if (!disk.sync_directory(path))
    return leaf::new_error(StoreFailure{path, "write", "folder can't be synced"});
  return {};
}

}  // namespace winchhall::cluster
