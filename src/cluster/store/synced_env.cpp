#include "cluster/store/synced_env.hpp"

#include <algorithm>
#include <cstring>
#include <filesystem>

#include "cluster/store/database_files.hpp"
#include "cluster/store/log_scan.hpp"

namespace winchhall::cluster {

namespace {

std::string file_name(const std::string& path) { return std::filesystem::path(path).filename().string(); }

std::string directory_of(const std::string& path) {
  return std::filesystem::path(path).parent_path().string();
}

// Serves reads from a file's content in memory.
class InMemoryFile : public leveldb::SequentialFile {
 public:
  explicit InMemoryFile(std::string content) : content_(std::move(content)) {}

  leveldb::Status Read(std::size_t size, leveldb::Slice* result, char* scratch) override {
    const std::size_t count = std::min(size, content_.size() - offset_);
    std::memcpy(scratch, content_.data() + offset_, count);
    *result = leveldb::Slice(scratch, count);
    offset_ += count;
    return leveldb::Status::OK();
  }
  leveldb::Status Skip(std::uint64_t size) override {
    offset_ += std::min<std::size_t>(size, content_.size() - offset_);
    return leveldb::Status::OK();
  }

 private:
  const std::string content_;
  std::size_t offset_ = 0;
};

}  // namespace

leveldb::Status SyncedEnv::RenameFile(const std::string& from, const std::string& to) {
  const leveldb::Status renamed = leveldb::EnvWrapper::RenameFile(from, to);
  if (!renamed.ok()) return renamed;
  if (disk_.sync_directory(directory_of(to))) return renamed;
  return leveldb::Status::IOError(to, "directory can't be synced after renaming this file");
}

leveldb::Status SyncedEnv::RemoveFile(const std::string& path) {
  if (is_manifest_file(file_name(path)) && is_current_manifest(path)) {
    return leveldb::Status::IOError(path, "not removed, because CURRENT names this file");
  }
  return leveldb::EnvWrapper::RemoveFile(path);
}

bool SyncedEnv::is_current_manifest(const std::string& path) {
  std::string current;
  const std::string current_path = directory_of(path) + "/CURRENT";
  const leveldb::Status read = leveldb::ReadFileToString(target(), current_path, &current);
  // If CURRENT is unreadable, assumes that it names this file: keeping an obsolete MANIFEST is harmless,
  // losing the current one is not.
  if (!read.ok()) return !read.IsNotFound();
  return current == file_name(path) + "\n";
}

leveldb::Status SyncedEnv::NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) {
  if (!has_log_format(file_name(path))) return leveldb::EnvWrapper::NewSequentialFile(path, file);
  *file = nullptr;
  std::string content;
  const leveldb::Status read = leveldb::ReadFileToString(target(), path, &content);
  if (!read.ok()) return read;
  const LogScanResult scan = scan_log(content);
  if (scan.damaged) return leveldb::Status::Corruption(path, "damaged before its last record");
  content.resize(scan.valid_bytes);
  *file = new InMemoryFile(std::move(content));
  return leveldb::Status::OK();
}

}  // namespace winchhall::cluster
