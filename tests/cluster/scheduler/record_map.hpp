// The durable records of a simulated shard.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster::test {

using RecordMap = std::map<std::string, std::string>;  // by key

inline void apply_changes(RecordMap& records, const std::vector<ShardChange>& changes) {
  for (const ShardChange& change : changes) {
    if (change.value) {
      records[change.key] = *change.value;
    } else {
      records.erase(change.key);
    }
  }
}

// The records in the form in which a new leader reads them from the shard.
inline std::vector<ShardEntry> shard_entries(const RecordMap& records) {
  std::vector<ShardEntry> entries;
  for (const auto& [key, value] : records) entries.push_back({key, value});
  return entries;
}

}  // namespace winchhall::cluster::test
