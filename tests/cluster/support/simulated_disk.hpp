// A disk in memory that records what is done to it, loses power at any point, refuses, fills up or hangs.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/store/disk.hpp"

namespace winchhall::cluster::sim {

enum class DiskOperationKind { create, write, sync, rename, remove, sync_directory };

struct DiskOperation {
  DiskOperationKind kind;
  std::string path;
  std::string target;  // of a rename
  std::string data;    // of a write
  int file = 0;        // number of the file written or synced
};

using DiskFiles = std::map<std::string, std::string>;

// Names and contents, as they are and as a loss of power may leave them. A file holds what its last sync
// covered; each later write is there, missing or torn, or all are gone. A name of a new file lasts with the
// file's sync; each other change of a name lasts with a sync of the folder and is kept or lost on its own.
class DiskModel {
 public:
  DiskModel() = default;
  explicit DiskModel(const DiskFiles& files) {
    for (const auto& [path, content] : files) {
      const int file = next_file_++;
      files_[file] = {content, content, {}};
      names_[path] = file;
    }
    durable_names_ = names_;
  }

  // Applies an operation; for `create`, returns the number of the file.
  int apply(const DiskOperation& operation) {
    switch (operation.kind) {
      case DiskOperationKind::create:
        return create(operation.path);
      case DiskOperationKind::write: {
        File& file = files_.at(operation.file);
        file.unsynced.push_back({file.content.size(), operation.data, false});
        file.content += operation.data;
        break;
      }
      case DiskOperationKind::sync:
        sync(operation.file);
        break;
      case DiskOperationKind::rename: {
        const int file = names_.at(operation.path);
        names_.erase(operation.path);
        names_[operation.target] = file;
        unsynced_names_.push_back({operation, file});
        break;
      }
      case DiskOperationKind::remove:
        unsynced_names_.push_back({operation, names_.at(operation.path)});
        names_.erase(operation.path);
        break;
      case DiskOperationKind::sync_directory:
        durable_names_ = names_;
        unsynced_names_.clear();
        break;
    }
    return 0;
  }

  bool exists(const std::string& path) const { return names_.contains(path); }
  const std::string& content(const std::string& path) const { return files_.at(names_.at(path)).content; }
  DiskFiles files() const {
    DiskFiles found;
    for (const auto& [path, file] : names_) found[path] = files_.at(file).content;
    return found;
  }
  std::size_t bytes() const {
    std::size_t total = 0;
    for (const auto& [path, file] : names_) total += files_.at(file).content.size();
    return total;
  }

  DiskFiles after_power_loss(std::mt19937_64& random) const {
    std::map<std::string, int> names = durable_names_;
    for (const NameChange& change : unsynced_names_) {
      if (random() % 2 == 0) keep(change, names);
    }
    const bool all_writes_gone = random() % 4 == 0;
    DiskFiles left;
    for (const auto& [path, file] : names) left[path] = remains(files_.at(file), all_writes_gone, random);
    return left;
  }

 private:
  struct Write {
    std::size_t offset;
    std::string data;
    bool truncates;
  };
  struct File {
    std::string synced;
    std::string content;
    std::vector<Write> unsynced;
  };
  struct NameChange {
    DiskOperation operation;
    int file;
  };

  int create(const std::string& path) {
    const auto known = names_.find(path);
    if (known != names_.end()) {
      File& file = files_.at(known->second);
      file.unsynced.push_back({0, "", true});
      file.content.clear();
      return known->second;
    }
    const int file = next_file_++;
    files_[file] = {};
    names_[path] = file;
    unsynced_names_.push_back({{DiskOperationKind::create, path, "", "", file}, file});
    return file;
  }

  void sync(int number) {
    File& file = files_.at(number);
    file.synced = file.content;
    file.unsynced.clear();
    for (const auto& [path, named] : names_) {
      if (named == number && !lasts_under_another_name(number)) durable_names_[path] = number;
    }
  }
  bool lasts_under_another_name(int number) const {
    for (const auto& [path, file] : durable_names_) {
      if (file == number) return true;
    }
    return false;
  }

  static void keep(const NameChange& change, std::map<std::string, int>& names) {
    const DiskOperation& operation = change.operation;
    const auto named = names.find(operation.path);
    const bool is_same = named != names.end() && named->second == change.file;
    if (operation.kind == DiskOperationKind::create) {
      names.try_emplace(operation.path, change.file);
    } else if (is_same) {
      names.erase(named);
      if (operation.kind == DiskOperationKind::rename) names[operation.target] = change.file;
    }
  }

  static std::string remains(const File& file, bool all_writes_gone, std::mt19937_64& random) {
    std::string content = file.synced;
    if (all_writes_gone) return content;
    for (const Write& write : file.unsynced) {
      const auto fate = random() % 3;
      if (fate == 0) continue;
      if (write.truncates) {
        content.clear();
      } else if (fate == 1) {
        put(content, write.offset, write.data);
      } else {
        put_torn(content, write, random);
      }
    }
    return content;
  }
  static void put(std::string& content, std::size_t offset, const std::string& data) {
    if (content.size() < offset + data.size()) content.resize(offset + data.size(), '\0');
    content.replace(offset, data.size(), data);
  }
  // A part from the start, a part of the sectors, or all with a sector of something else.
  static void put_torn(std::string& content, const Write& write, std::mt19937_64& random) {
    constexpr std::size_t kSector = 512;
    const auto fate = random() % 3;
    if (write.data.empty()) return;
    if (fate == 0) return put(content, write.offset, write.data.substr(0, random() % write.data.size()));
    if (fate == 1) {
      for (std::size_t at = 0; at < write.data.size(); at += kSector) {
        if (random() % 2 == 0) put(content, write.offset + at, write.data.substr(at, kSector));
      }
      return;
    }
    std::string data = write.data;
    const std::size_t start = random() % data.size();
    for (std::size_t at = start; at < std::min(start + kSector, data.size()); ++at) {
      data[at] = static_cast<char>(random());
    }
    put(content, write.offset, data);
  }

  std::map<int, File> files_;
  std::map<std::string, int> names_;
  std::map<std::string, int> durable_names_;
  std::vector<NameChange> unsynced_names_;
  int next_file_ = 1;
};

class SimulatedDisk : public Disk {
 public:
  SimulatedDisk();
  explicit SimulatedDisk(const DiskFiles& files);
  ~SimulatedDisk() override;

  leveldb::Env& files() override;
  bool create_directories(const std::string&) override { return true; }
  bool sync_directory(const std::string& path) override {
    return change({DiskOperationKind::sync_directory, path, "", "", 0}).ok();
  }

  // Everything done so far.
  std::vector<DiskOperation> trace() const {
    const std::lock_guard lock(mutex_);
    return trace_;
  }
  std::size_t operations() const {
    const std::lock_guard lock(mutex_);
    return trace_.size();
  }
  DiskFiles content() const {
    const std::lock_guard lock(mutex_);
    return model_.files();
  }
  std::size_t bytes() const {
    const std::lock_guard lock(mutex_);
    return model_.bytes();
  }
  std::size_t peak_bytes() const {
    const std::lock_guard lock(mutex_);
    return peak_bytes_;
  }
  std::size_t written_bytes() const {
    const std::lock_guard lock(mutex_);
    return written_bytes_;
  }
  // For long runs.
  void disable_trace() {
    const std::lock_guard lock(mutex_);
    record_ = false;
  }
  // Changes are refused while on.
  void refuse(bool on) {
    const std::lock_guard lock(mutex_);
    refusing_ = on;
  }
  // Refuses just these of the changes to come, counted from 0.
  void refuse_changes(const std::set<std::size_t>& numbers) {
    const std::lock_guard lock(mutex_);
    refused_attempts_.clear();
    for (const std::size_t number : numbers) refused_attempts_.insert(attempts_ + number);
  }
  // A write that would go beyond is carried out in part.
  void set_capacity(std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    capacity_ = bytes;
  }
  // Syncs wait until the disk is let go on.
  void hang(bool on) {
    const std::lock_guard lock(mutex_);
    hanging_ = on;
    wake_.notify_all();
  }
  // Waits until a sync hangs.
  void wait_for_hanging_sync() {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return hanging_syncs_ > 0; });
  }
  // Waits until no database has the disk in use.
  void wait_for_unlock() {
    std::unique_lock lock(mutex_);
    wake_.wait(lock, [this] { return locks_ == 0; });
  }

 private:
  friend class SimulatedFiles;

  leveldb::Status change(DiskOperation operation, int* created = nullptr);
  bool refuses();

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  DiskModel model_;
  std::vector<DiskOperation> trace_;
  std::unique_ptr<leveldb::Env> files_;
  bool record_ = true;
  std::size_t peak_bytes_ = 0;
  std::size_t written_bytes_ = 0;
  std::size_t capacity_ = SIZE_MAX;
  std::size_t attempts_ = 0;
  std::set<std::size_t> refused_attempts_;
  bool refusing_ = false;
  bool hanging_ = false;
  int hanging_syncs_ = 0;
  int locks_ = 0;
};

}  // namespace winchhall::cluster::sim

#include "tests/cluster/support/simulated_disk_impl.hpp"
