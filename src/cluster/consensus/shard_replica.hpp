// One acceptor's replica of a shard, and how replicas are merged.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

using ShardRecords = std::map<std::string, wire::ShardRecord>;  // by key

// One acceptor's whole replica of a shard: the promised epoch with its holder and session, the base, and the
// records, tombstones of removed ones included.
//
// The base is the highest epoch whose holder made the replica equal to its own state ("established" it).
struct ShardReplica {
  wire::ShardState state;
  ShardRecords records;
};

// Copies a promise: epoch, holder, session and the holder's address.
void copy_promise(const wire::ShardState& from, wire::ShardState& to);
// True if both promise the same epoch to the same session of the same holder.
bool same_promise(const wire::ShardState& left, const wire::ShardState& right);

// True if `left` is the older version of a record: by epoch, then by sequence.
bool is_older(const wire::ShardRecord& left, const wire::ShardRecord& right);
bool is_same_version(const wire::ShardRecord& left, const wire::ShardRecord& right);

// The state from which a new lease holder continues, merged from the replicas of a majority: all records of
// the replicas with the highest base, and from the others only records that were written under that base or
// later. So a write that an earlier holder did not get to a majority, and that its successor did not see,
// never reappears, while every acknowledged write is in one of the replicas and is kept.
ShardReplica merge_replicas(const std::vector<const ShardReplica*>& replicas);

}  // namespace winchhall::cluster
