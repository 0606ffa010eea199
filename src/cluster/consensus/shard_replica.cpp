#include "cluster/consensus/shard_replica.hpp"

#include <algorithm>
#include <tuple>

namespace winchhall::cluster {

namespace {

// Merges the promises of two acceptors. If they promised the same epoch to two holders, neither holder may
// rely on the merged promise: it is for the next epoch, and to no holder.
void merge_promise(wire::ShardState& merged, const wire::ShardState& other) {
  if (other.epoch() > merged.epoch()) return copy_promise(other, merged);
  if (other.epoch() < merged.epoch() || same_promise(merged, other)) return;
  wire::ShardState next;
  next.set_epoch(merged.epoch() + 1);
  copy_promise(next, merged);
}

// Adds a record unless the same or a newer version of it is present.
void add_if_newer(ShardRecords& records, const wire::ShardRecord& record) {
  const auto [entry, added] = records.try_emplace(record.key(), record);
  if (!added && is_older(entry->second, record)) entry->second = record;
}

}  // namespace

void copy_promise(const wire::ShardState& from, wire::ShardState& to) {
  to.set_epoch(from.epoch());
  to.set_holder(from.holder());
  to.set_session(from.session());
  to.set_holder_address(from.holder_address());
}

bool same_promise(const wire::ShardState& left, const wire::ShardState& right) {
  return left.epoch() == right.epoch() && left.holder() == right.holder() &&
         left.session() == right.session();
}

bool is_older(const wire::ShardRecord& left, const wire::ShardRecord& right) {
  return std::make_tuple(left.epoch(), left.sequence()) < std::make_tuple(right.epoch(), right.sequence());
}

bool is_same_version(const wire::ShardRecord& left, const wire::ShardRecord& right) {
  return left.epoch() == right.epoch() && left.sequence() == right.sequence();
}

ShardReplica merge_replicas(const std::vector<const ShardReplica*>& replicas) {
  ShardReplica merged;
  for (const ShardReplica* replica : replicas) {
    merge_promise(merged.state, replica->state);
    merged.state.set_base(std::max(merged.state.base(), replica->state.base()));
  }
  const std::uint64_t base = merged.state.base();
  for (const ShardReplica* replica : replicas) {
    const bool is_newest_base = replica->state.base() == base;
    for (const auto& [key, record] : replica->records) {
      if (is_newest_base || record.epoch() >= base) add_if_newer(merged.records, record);
    }
  }
  return merged;
}

}  // namespace winchhall::cluster
