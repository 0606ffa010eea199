// The simulated disk as an environment of LevelDB. Included by simulated_disk.hpp only.
#pragma once

#include <algorithm>
#include <cstring>

#include "tests/cluster/support/simulated_disk.hpp"

namespace winchhall::cluster::sim {

class SimulatedReader : public leveldb::SequentialFile, public leveldb::RandomAccessFile {
 public:
  explicit SimulatedReader(std::string content) : content_(std::move(content)) {}

  leveldb::Status Read(std::size_t size, leveldb::Slice* result, char* scratch) override {
    const leveldb::Status status = Read(offset_, size, result, scratch);
    offset_ += result->size();
    return status;
  }
  leveldb::Status Skip(std::uint64_t size) override {
    offset_ = std::min<std::size_t>(content_.size(), offset_ + size);
    return leveldb::Status::OK();
  }
  leveldb::Status Read(std::uint64_t offset, std::size_t size, leveldb::Slice* result,
                       char* scratch) const override {
    const std::size_t start = std::min<std::size_t>(offset, content_.size());
    const std::size_t count = std::min(size, content_.size() - start);
    std::memcpy(scratch, content_.data() + start, count);
    *result = leveldb::Slice(scratch, count);
    return leveldb::Status::OK();
  }

 private:
  const std::string content_;
  std::size_t offset_ = 0;
};

class SimulatedFiles : public leveldb::EnvWrapper {
 public:
  explicit SimulatedFiles(SimulatedDisk& disk) : leveldb::EnvWrapper(leveldb::Env::Default()), disk_(disk) {}

  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override {
    return open(path, file);
  }
  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) override {
    return open(path, file);
  }
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile**) override {
    return leveldb::Status::IOError(path, "not simulated");
  }
  bool FileExists(const std::string& path) override {
    const std::lock_guard lock(disk_.mutex_);
    return disk_.model_.exists(path);
  }
  leveldb::Status GetChildren(const std::string& directory, std::vector<std::string>* names) override {
    names->clear();
    for (const auto& [path, content] : disk_.content()) {
      const std::string prefix = directory + "/";
      if (!path.starts_with(prefix)) continue;
      const std::string name = path.substr(prefix.size(), path.find('/', prefix.size()) - prefix.size());
      if (names->empty() || names->back() != name) names->push_back(name);
    }
    return leveldb::Status::OK();
  }
  leveldb::Status RemoveFile(const std::string& path) override {
    if (!FileExists(path)) return leveldb::Status::NotFound(path);
    return disk_.change({DiskOperationKind::remove, path, "", "", 0});
  }
  leveldb::Status CreateDir(const std::string&) override { return leveldb::Status::OK(); }
  leveldb::Status GetFileSize(const std::string& path, std::uint64_t* size) override {
    *size = 0;
    if (!FileExists(path)) return leveldb::Status::NotFound(path);
    const std::lock_guard lock(disk_.mutex_);
    *size = disk_.model_.content(path).size();
    return leveldb::Status::OK();
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    if (!FileExists(from)) return leveldb::Status::NotFound(from);
    return disk_.change({DiskOperationKind::rename, from, to, "", 0});
  }
  leveldb::Status LockFile(const std::string&, leveldb::FileLock** lock) override {
    const std::lock_guard guard(disk_.mutex_);
    ++disk_.locks_;
    *lock = new leveldb::FileLock;
    return leveldb::Status::OK();
  }
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override {
    const std::lock_guard guard(disk_.mutex_);
    --disk_.locks_;
    disk_.state_changed_.notify_all();
    delete lock;
    return leveldb::Status::OK();
  }

 private:
  template <typename File>
  leveldb::Status open(const std::string& path, File** file) {
    *file = nullptr;
    const std::lock_guard lock(disk_.mutex_);
    if (!disk_.model_.exists(path)) return leveldb::Status::NotFound(path);
    *file = new SimulatedReader(disk_.model_.content(path));
    return leveldb::Status::OK();
  }

  SimulatedDisk& disk_;
};

// Buffers like LevelDB's own writer: each flush is one write.
class SimulatedWriter : public leveldb::WritableFile {
 public:
  SimulatedWriter(std::function<leveldb::Status(DiskOperation)> change, std::string path, int file)
      : change_(std::move(change)), path_(std::move(path)), file_(file) {}
  ~SimulatedWriter() override { Flush(); }

  leveldb::Status Append(const leveldb::Slice& data) override {
    constexpr std::size_t kBufferBytes = 65536;
    buffer_.append(data.data(), data.size());
    return buffer_.size() < kBufferBytes ? leveldb::Status::OK() : Flush();
  }
  leveldb::Status Close() override { return Flush(); }
  leveldb::Status Flush() override {
    if (buffer_.empty()) return leveldb::Status::OK();
    return change_({DiskOperationKind::write, path_, "", std::exchange(buffer_, {}), file_});
  }
  leveldb::Status Sync() override {
    const leveldb::Status flushed = Flush();
    return flushed.ok() ? change_({DiskOperationKind::sync, path_, "", "", file_}) : flushed;
  }

 private:
  const std::function<leveldb::Status(DiskOperation)> change_;
  const std::string path_;
  const int file_;
  std::string buffer_;
};

inline leveldb::Status SimulatedFiles::NewWritableFile(const std::string& path,
                                                       leveldb::WritableFile** file) {
  *file = nullptr;
  int created = 0;
  const leveldb::Status status = disk_.change({DiskOperationKind::create, path, "", "", 0}, &created);
  if (!status.ok()) return status;
  const auto change = [this](DiskOperation operation) { return disk_.change(std::move(operation)); };
  *file = new SimulatedWriter(change, path, created);
  return status;
}

inline SimulatedDisk::SimulatedDisk() : files_(std::make_unique<SimulatedFiles>(*this)) {}
inline SimulatedDisk::SimulatedDisk(const DiskFiles& files)
    : model_(files), files_(std::make_unique<SimulatedFiles>(*this)) {}
inline SimulatedDisk::~SimulatedDisk() = default;
inline leveldb::Env& SimulatedDisk::files() { return *files_; }

inline bool SimulatedDisk::next_change_fails() {
  const std::size_t number = changes_++;
  return failing_ || failing_changes_.contains(number);
}

inline leveldb::Status SimulatedDisk::change(DiskOperation operation, int* created) {
  std::unique_lock lock(mutex_);
  if (operation.kind == DiskOperationKind::sync && hanging_) {
    ++hanging_syncs_;
    state_changed_.notify_all();
    state_changed_.wait(lock, [this] { return !hanging_; });
    --hanging_syncs_;
  }
  if (next_change_fails()) return leveldb::Status::IOError(operation.path, "simulated I/O error");
  leveldb::Status status;
  if (operation.kind == DiskOperationKind::write) {
    const std::size_t available = capacity_ - std::min(capacity_, model_.bytes());
    if (operation.data.size() > available) {
      status = leveldb::Status::IOError(operation.path, "no space left");
      operation.data.resize(available);
    }
    written_bytes_ += operation.data.size();
  }
  const int file = model_.apply(operation);
  if (created) *created = file;
  peak_bytes_ = std::max(peak_bytes_, model_.bytes());
  if (records_trace_) trace_.push_back(std::move(operation));
  return status;
}

}  // namespace winchhall::cluster::sim
