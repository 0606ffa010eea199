#include "cluster/consensus/replica_progress.hpp"

#include <utility>

namespace winchhall::cluster {

namespace {

constexpr unsigned kMaxBatchesInFlight = 4;
constexpr std::size_t kMaxBatchBytes = 128 << 10;
// A stalled replica may have to keep all that it receives in memory, so it is sent one record at a time. (A
// batch is full once its size reaches the limit.)
constexpr std::size_t kMaxStalledBatchBytes = 1;

}  // namespace

void ReplicaProgress::mark_missing(const std::string& key, std::uint64_t change) {
  const auto [entry, added] = missing_.try_emplace(key);
  if (added) {
    entry->second.since = change;
    missing_by_change_.emplace(change, key);
  }
  unsent_.push_back(key);
}

void ReplicaProgress::reconcile_with(const ShardRecords& content, LeaderRecordTable& records) {
  constexpr std::uint64_t kFirstChange = 1;
  content_known_ = true;
  tracked_ = true;
  for (const auto& [key, replica_record] : content) {
    const VersionedRecord* own = records.find(key);
    const bool unacknowledged = own ? is_older(own->record, replica_record) : !replica_record.deleted();
    if (unacknowledged) records.renew(key);
    if (unacknowledged || (own && is_older(replica_record, own->record))) mark_missing(key, kFirstChange);
  }
  for (const auto& [key, own] : records.all()) {
    if (!own.record.deleted() && !content.contains(key)) mark_missing(key, kFirstChange);
  }
}

std::optional<ReplicationBatch> ReplicaProgress::next_batch(const LeaderRecordTable& records) {
  // One batch at a time until the replica is established, so that the last one can establish it.
  const bool completing = content_known_ && !established_;
  const unsigned limit = completing || !responsive || stalled_ ? 1 : kMaxBatchesInFlight;
  const std::size_t max_bytes = stalled_ ? kMaxStalledBatchBytes : kMaxBatchBytes;
  if (batches_in_flight_ >= limit) return std::nullopt;
  ReplicationBatch batch;
  std::size_t bytes = 0;
  while (!unsent_.empty() && bytes < max_bytes) {
    const std::string key = std::move(unsent_.front());
    unsent_.pop_front();
    const auto missing = missing_.find(key);
    if (missing == missing_.end()) continue;
    const VersionedRecord& own = *records.find(key);
    if (missing->second.in_flight == own.change) continue;
    missing->second.in_flight = own.change;
    bytes += key.size() + own.record.value().size();
    batch.entries.push_back({key, own.change});
  }
  batch.establishes = completing && unsent_.empty();
  if (batch.entries.empty() && !batch.establishes) return std::nullopt;
  ++batches_in_flight_;
  return batch;
}

void ReplicaProgress::on_acknowledged(const ReplicationBatch& batch, const LeaderRecordTable& records) {
  --batches_in_flight_;
  stalled_ = false;
  if (batch.establishes) established_ = true;
  for (const ReplicationBatch::Entry& entry : batch.entries) {
    const auto missing = missing_.find(entry.key);
    if (missing == missing_.end()) continue;
    if (records.find(entry.key)->change == entry.change) {
      missing_by_change_.erase({missing->second.since, entry.key});
      missing_.erase(missing);
      continue;
    }
    // A newer version was made in the meantime: the replica misses only that one.
    if (missing->second.since <= entry.change) {
      missing_by_change_.erase({missing->second.since, entry.key});
      missing->second.since = entry.change + 1;
      missing_by_change_.emplace(missing->second.since, entry.key);
    }
    requeue(entry);
  }
}

void ReplicaProgress::requeue(const ReplicationBatch::Entry& entry) {
  MissingRecord& missing = missing_.at(entry.key);
  if (missing.in_flight != entry.change) return;  // a newer version is being sent
  missing.in_flight = kNone;
  unsent_.push_back(entry.key);
}

void ReplicaProgress::on_failed(const ReplicationBatch& batch) {
  --batches_in_flight_;
  stalled_ = true;
  for (const ReplicationBatch::Entry& entry : batch.entries) {
    if (missing_.contains(entry.key)) requeue(entry);
  }
}

std::uint64_t ReplicaProgress::acknowledged_up_to(std::uint64_t last_change) const {
  if (!tracked_) return 0;
  return missing_by_change_.empty() ? last_change : missing_by_change_.begin()->first - 1;
}

}  // namespace winchhall::cluster
