// The lease holder's copy of a shard's records, with a number for each change made under this lease.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/consensus/shard_acceptor.hpp"

namespace winchhall::cluster {

// A record and the number of the change that made it; 0: found when the lease was got.
struct VersionedRecord {
  wire::ShardRecord record;
  std::uint64_t change = 0;
};

class LeaderRecordTable {
 public:
  LeaderRecordTable() = default;
  LeaderRecordTable(std::uint64_t epoch, ShardRecords found) : epoch_(epoch) {
    for (auto& [key, record] : found) records_[key] = {std::move(record), 0};
  }

  std::uint64_t last_change() const { return last_change_; }
  const std::map<std::string, VersionedRecord>& all() const { return records_; }
  const VersionedRecord* find(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
  }

  // Makes a new version of a record; no value: removed.
  void put(const std::string& key, const std::string* value) {
    VersionedRecord& held = records_[key];
    held.change = ++last_change_;
    held.record.set_key(key);
    held.record.set_epoch(epoch_);
    held.record.set_sequence(last_change_);
    held.record.set_deleted(value == nullptr);
    held.record.set_value(value ? *value : std::string());
  }
  // A new version with the same value, newer than whatever a replica holds from earlier epochs.
  void renew(const std::string& key) {
    const VersionedRecord* held = find(key);
    const bool live = held && !held->record.deleted();
    const std::string value = live ? held->record.value() : std::string();
    put(key, live ? &value : nullptr);
  }

 private:
  std::uint64_t epoch_ = 0;
  std::uint64_t last_change_ = 0;
  std::map<std::string, VersionedRecord> records_;
};

}  // namespace winchhall::cluster
