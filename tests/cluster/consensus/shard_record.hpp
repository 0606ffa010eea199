// Records for the tests of shard replicas.
#pragma once

#include <cstdint>
#include <string>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// A live record whose value names its version.
inline wire::ShardRecord shard_record(const std::string& key, std::uint64_t epoch, std::uint64_t sequence) {
  wire::ShardRecord record;
  record.set_key(key);
  record.set_epoch(epoch);
  record.set_sequence(sequence);
  record.set_value(key + std::to_string(epoch) + "." + std::to_string(sequence));
  return record;
}

}  // namespace winchhall::cluster
