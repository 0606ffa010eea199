// The lease holder's knowledge of one replica of a shard.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/consensus/leader_record_table.hpp"

namespace winchhall::cluster {

// The records of one message to a replica.
struct ReplicationBatch {
  struct Entry {
    std::string key;
    std::uint64_t change = 0;  // version that was sent
  };
  std::vector<Entry> entries;
  bool establishes = false;  // makes the replica equal to the holder's table
};

// Tracks which records a replica has not acknowledged yet and whether the replica was made equal to the
// holder's table ("established"), and decides what to send next. Missing records are kept here as hints while
// the replica is unavailable, and are sent when it answers again (hinted handoff, as in DeCandia et al.,
// "Dynamo", 2007).
//
// Invariant: once `tracked_`, the replica holds the newest version of every record that is not in `missing_`.
class ReplicaProgress {
 public:
  // `tracked_from_start`: tracked since before the holder's first change. Otherwise no change counts as
  // acknowledged until the replica's content was reconciled.
  explicit ReplicaProgress(bool tracked_from_start) : tracked_(tracked_from_start) {}

  // Records that the replica misses the versions of a record since the given change (at least 1).
  void mark_missing(const std::string& key, std::uint64_t change);
  // Compares the replica's whole content with the holder's table and marks the records that it misses.
  // Records that only the replica has, or that it has in an apparently newer version, were never
  // acknowledged: they get a new version in the table, which supersedes them everywhere. To be called once.
  void reconcile_with(const ShardRecords& content, LeaderRecordTable& records);

  // The next message to send; none: nothing to send now.
  std::optional<ReplicationBatch> next_batch(const LeaderRecordTable& records);
  // The replica acknowledged a message as durable.
  void on_acknowledged(const ReplicationBatch& batch, const LeaderRecordTable& records);
  // A message was rejected or not answered: its records are sent again.
  void on_failed(const ReplicationBatch& batch);

  // The highest change up to which the replica acknowledged every change. `last_change`: the holder's newest
  // change.
  std::uint64_t acknowledged_up_to(std::uint64_t last_change) const;
  bool established() const { return established_; }
  // True once the content was reconciled.
  bool content_known() const { return content_known_; }

  bool voting = false;     // according to its newest answer
  bool responsive = true;  // false after a failed call, until it answers again
  bool reading = false;    // its content is being read

 private:
  struct MissingRecord {
    std::uint64_t since = 0;          // first change that the replica misses
    std::uint64_t in_flight = kNone;  // change number of the version that is being sent
  };
  static constexpr std::uint64_t kNone = ~std::uint64_t{0};

  void requeue(const ReplicationBatch::Entry& entry);

  std::map<std::string, MissingRecord> missing_;                       // by key
  std::set<std::pair<std::uint64_t, std::string>> missing_by_change_;  // the same records, by `since`
  std::deque<std::string> unsent_;  // keys; may include records already sent or acknowledged
  unsigned batches_in_flight_ = 0;
  bool stalled_ = false;  // a message failed and none was acknowledged since: the replica's disk may hang
  bool tracked_;
  bool content_known_ = false;
  bool established_ = false;
};

}  // namespace winchhall::cluster
