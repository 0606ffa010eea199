#include "cluster/consensus/replica_progress.hpp"

#include <utility>

namespace winchhall::cluster {

namespace {

constexpr unsigned kMessagesInFlight = 4;
constexpr std::size_t kMessageBytes = 128 << 10;
// What a replica is sent that confirmed nothing: it may keep in memory all that it is sent.
constexpr std::size_t kStalledBatchBytes = 1;

}  // namespace

void ReplicaProgress::mark(const std::string& key, std::uint64_t change) {
  const auto [entry, added] = missing_.try_emplace(key);
  if (added) {
    entry->second.since = change;
    by_change_.emplace(change, key);
  }
  unsent_.push_back(key);
}

void ReplicaProgress::reconcile_with(const ShardRecords& content, LeaderRecordTable& records) {
  constexpr std::uint64_t kFirstChange = 1;
  content_known_ = true;
  tracked_ = true;
  for (const auto& [key, replica_record] : content) {
    const VersionedRecord* held = records.find(key);
    const bool stray = held ? is_older(held->record, replica_record) : !replica_record.deleted();
    if (stray) records.renew(key);
    if (stray || (held && is_older(replica_record, held->record))) mark(key, kFirstChange);
  }
  for (const auto& [key, held] : records.all()) {
    if (!held.record.deleted() && !content.contains(key)) mark(key, kFirstChange);
  }
}

std::optional<ReplicationBatch> ReplicaProgress::next_message(const LeaderRecordTable& records) {
  // One at a time until the replica is established, so that the last message can complete it.
  const bool completing = content_known_ && !established_;
  const unsigned limit = completing || !responsive || stalled_ ? 1 : kMessagesInFlight;
  const std::size_t most_bytes = stalled_ ? kStalledBatchBytes : kMessageBytes;
  if (in_flight_ >= limit) return std::nullopt;
  ReplicationBatch message;
  std::size_t bytes = 0;
  while (!unsent_.empty() && bytes < most_bytes) {
    const std::string key = std::move(unsent_.front());
    unsent_.pop_front();
    const auto entry = missing_.find(key);
    if (entry == missing_.end()) continue;
    const VersionedRecord& held = *records.find(key);
    if (entry->second.sent == held.change) continue;
    entry->second.sent = held.change;
    bytes += key.size() + held.record.value().size();
    message.sent.push_back({key, held.change});
  }
  message.establishes = completing && unsent_.empty();
  if (message.sent.empty() && !message.establishes) return std::nullopt;
  ++in_flight_;
  return message;
}

void ReplicaProgress::confirmed(const ReplicationBatch& message, const LeaderRecordTable& records) {
  --in_flight_;
  stalled_ = false;
  if (message.establishes) established_ = true;
  for (const ReplicationBatch::Sent& sent : message.sent) {
    const auto entry = missing_.find(sent.key);
    if (entry == missing_.end()) continue;
    if (records.find(sent.key)->change == sent.change) {
      by_change_.erase({entry->second.since, sent.key});
      missing_.erase(entry);
      continue;
    }
    // A newer version was made meanwhile: the replica lacks only that.
    if (entry->second.since <= sent.change) {
      by_change_.erase({entry->second.since, sent.key});
      entry->second.since = sent.change + 1;
      by_change_.emplace(entry->second.since, sent.key);
    }
    requeue(sent);
  }
}

void ReplicaProgress::requeue(const ReplicationBatch::Sent& sent) {
  MissingRecord& lacking = missing_.at(sent.key);
  if (lacking.sent != sent.change) return;
  lacking.sent = kNotSent;
  unsent_.push_back(sent.key);
}

void ReplicaProgress::failed(const ReplicationBatch& message) {
  --in_flight_;
  stalled_ = true;
  for (const ReplicationBatch::Sent& sent : message.sent) {
    if (missing_.contains(sent.key)) requeue(sent);
  }
}

std::uint64_t ReplicaProgress::acknowledged_up_to(std::uint64_t last_change) const {
  if (!tracked_) return 0;
  return by_change_.empty() ? last_change : by_change_.begin()->first - 1;
}

}  // namespace winchhall::cluster
