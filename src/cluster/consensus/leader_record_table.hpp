// The lease holder's copy of a shard's records. Every change made under the lease has a number.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/consensus/shard_replica.hpp"

namespace winchhall::cluster {

// A record and the number of the change that made this version; 0: recovered when the lease was acquired.
struct VersionedRecord {
  wire::ShardRecord record;
  std::uint64_t change = 0;
};

// Owns the records. Changes are numbered 1, 2, ... under one epoch. The number is the record's sequence, so
// that (epoch, sequence) orders all versions of a record across lease holders.
class LeaderRecordTable {
 public:
  LeaderRecordTable() = default;
  LeaderRecordTable(std::uint64_t epoch, ShardRecords recovered) : epoch_(epoch) {
    for (auto& [key, record] : recovered) records_[key] = {std::move(record), 0};
  }

  // Number of the newest change; 0: none yet.
  std::uint64_t last_change() const { return last_change_; }
  // All records by key, those removed included.
  const std::map<std::string, VersionedRecord>& all() const { return records_; }
  // Null: no such record.
  const VersionedRecord* find(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
  }

  // Makes a new version of a record. A null value marks the record as removed.
  void put(const std::string& key, const std::string* value) {
    VersionedRecord& versioned = records_[key];
    versioned.change = ++last_change_;
    versioned.record.set_key(key);
    versioned.record.set_epoch(epoch_);
    versioned.record.set_sequence(last_change_);
    versioned.record.set_deleted(value == nullptr);
    versioned.record.set_value(value ? *value : std::string());
  }
  // Makes a new version with the same value, newer than any that a replica holds from earlier epochs. A
  // record that isn't in the table is marked as removed.
  void renew(const std::string& key) {
    const VersionedRecord* current = find(key);
    const bool live = current && !current->record.deleted();
    const std::string value = live ? current->record.value() : std::string();
    put(key, live ? &value : nullptr);
  }

 private:
  std::uint64_t epoch_ = 0;
  std::uint64_t last_change_ = 0;
  std::map<std::string, VersionedRecord> records_;
};

}  // namespace winchhall::cluster
