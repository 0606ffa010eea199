// A disk in memory that records all operations. Tests can make it fail, fill up or hang, and replay its trace
// on a DiskModel to simulate a power loss.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "cluster/store/disk.hpp"
#include "tests/cluster/support/disk_model.hpp"

namespace winchhall::cluster::sim {

// Thread-safe.
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

  // The recorded changes, in order.
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
  // Stops recording the trace, to save memory in long tests.
  void disable_trace() {
    const std::lock_guard lock(mutex_);
    records_trace_ = false;
  }
  // While on, every change fails with an I/O error.
  void fail_changes(bool on) {
    const std::lock_guard lock(mutex_);
    failing_ = on;
  }
  // Makes the changes with these numbers fail, counted from 0 at this call.
  void fail_changes_numbered(const std::set<std::size_t>& numbers) {
    const std::lock_guard lock(mutex_);
    failing_changes_.clear();
    for (const std::size_t number : numbers) failing_changes_.insert(changes_ + number);
  }
  // A write that exceeds the capacity is applied in part and fails.
  void set_capacity(std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    capacity_ = bytes;
  }
  // While on, syncs block.
  void hang(bool on) {
    const std::lock_guard lock(mutex_);
    hanging_ = on;
    state_changed_.notify_all();
  }
  // Blocks until a sync hangs.
  void wait_for_hanging_sync() {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return hanging_syncs_ > 0; });
  }
  // Blocks until no database is open on the disk.
  void wait_for_unlock() {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return locks_ == 0; });
  }

 private:
  friend class SimulatedFiles;

  leveldb::Status change(DiskOperation operation, int* created = nullptr);
  bool next_change_fails();

  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  DiskModel model_;
  std::vector<DiskOperation> trace_;
  std::unique_ptr<leveldb::Env> files_;
  bool records_trace_ = true;
  std::size_t peak_bytes_ = 0;
  std::size_t written_bytes_ = 0;
  std::size_t capacity_ = SIZE_MAX;
  std::size_t changes_ = 0;
  std::set<std::size_t> failing_changes_;
  bool failing_ = false;
  bool hanging_ = false;
  int hanging_syncs_ = 0;
  int locks_ = 0;
};

}  // namespace winchhall::cluster::sim

#include "tests/cluster/support/simulated_disk_impl.hpp"
