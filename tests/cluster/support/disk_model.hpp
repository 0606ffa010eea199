// A model of a disk's durability: the states of files and names that a power loss can leave.
#pragma once

#include <map>
#include <random>
#include <string>
#include <vector>

namespace winchhall::cluster::sim {

enum class DiskOperationKind { create, write, sync, rename, remove, sync_directory };

// One change of the disk, as recorded in a trace.
struct DiskOperation {
  DiskOperationKind kind;
  std::string path;
  std::string target;  // of a rename
  std::string data;    // of a write
  int file = 0;        // number of the file written or synced
};

// Contents of files by path.
using DiskFiles = std::map<std::string, std::string>;

// A file system's names and contents, now and after a power loss. A power loss leaves a file with the content
// of its last sync; each later write is applied, lost or torn independently, or all are lost. The name of a
// new file is durable from the file's first sync on; every other change of a name is durable from the next
// sync of the directory on and until then survives or is lost independently.
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

  // Applies an operation; returns the number of the file for `create`, else 0.
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

  // A random one of the states that a power loss at this point can leave.
  DiskFiles after_power_loss(std::mt19937_64& random) const {
    std::map<std::string, int> names = durable_names_;
    for (const NameChange& change : unsynced_names_) {
      if (random() % 2 == 0) apply_name_change(change, names);
    }
    const bool lose_all_writes = random() % 4 == 0;
    DiskFiles left;
    for (const auto& [path, file] : names)
      left[path] = content_after_power_loss(files_.at(file), lose_all_writes, random);
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
      if (named == number && !is_durable_under_some_name(number)) durable_names_[path] = number;
    }
  }
  bool is_durable_under_some_name(int number) const {
    for (const auto& [path, file] : durable_names_) {
      if (file == number) return true;
    }
    return false;
  }

  static void apply_name_change(const NameChange& change, std::map<std::string, int>& names) {
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

  static std::string content_after_power_loss(const File& file, bool lose_all_writes,
                                              std::mt19937_64& random) {
    std::string content = file.synced;
    if (lose_all_writes) return content;
    for (const Write& write : file.unsynced) {
      const auto outcome = random() % 3;
      if (outcome == 0) continue;
      if (write.truncates) {
        content.clear();
      } else if (outcome == 1) {
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
  // Applies a prefix of the data, a subset of its sectors, or all of it with one sector overwritten by
  // garbage.
  static void put_torn(std::string& content, const Write& write, std::mt19937_64& random) {
    constexpr std::size_t kSectorBytes = 512;
    const auto outcome = random() % 3;
    if (write.data.empty()) return;
    if (outcome == 0) return put(content, write.offset, write.data.substr(0, random() % write.data.size()));
    if (outcome == 1) {
      for (std::size_t offset = 0; offset < write.data.size(); offset += kSectorBytes) {
        if (random() % 2 == 0) put(content, write.offset + offset, write.data.substr(offset, kSectorBytes));
      }
      return;
    }
    std::string data = write.data;
    const std::size_t start = random() % data.size();
    for (std::size_t offset = start; offset < std::min(start + kSectorBytes, data.size()); ++offset) {
      data[offset] = static_cast<char>(random());
    }
    put(content, write.offset, data);
  }

  std::map<int, File> files_;
  std::map<std::string, int> names_;
  std::map<std::string, int> durable_names_;
  std::vector<NameChange> unsynced_names_;
  int next_file_ = 1;
};

}  // namespace winchhall::cluster::sim
