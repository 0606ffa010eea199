// What the holder of a shard's lease knows of one replica: which records it did not confirm yet (hints,
// handed off when it answers again), and whether it was made equal to the holder's state.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/leader_record_table.hpp"

namespace winchhall::cluster {

// Records of one message to a replica.
struct ReplicationBatch {
  struct Sent {
    std::string key;
    std::uint64_t change = 0;
  };
  std::vector<Sent> sent;
  bool establishes = false;
};

class ReplicaProgress {
 public:
  // `from_the_start`: known since before the holder's first change. Else the replica counts for no change
  // before its content was taken.
  explicit ReplicaProgress(bool from_the_start) : tracked_(from_the_start) {}

  // Notes that the replica lacks a record since the given change (at least 1).
  void mark(const std::string& key, std::uint64_t change);
  // Compares the replica's whole content with the holder's: marks what it lacks. Records of the replica that
  // the holder doesn't have, or that look newer, get a new version. To be called once.
  void reconcile_with(const ShardRecords& content, LeaderRecordTable& records);

  // Records that have to be sent now; none: nothing to send.
  std::optional<ReplicationBatch> next_message(const LeaderRecordTable& records);
  void confirmed(const ReplicationBatch& message, const LeaderRecordTable& records);
  void failed(const ReplicationBatch& message);

  // The replica holds every change up to this one.
  std::uint64_t acknowledged_up_to(std::uint64_t last_change) const;
  bool established() const { return established_; }
  bool content_known() const { return content_known_; }

  bool voting = false;     // by its newest answer
  bool responsive = true;  // false after a failed call, until it answers again
  bool reading = false;    // its content is being read

 private:
  struct MissingRecord {
    std::uint64_t since = 0;
    std::uint64_t sent = kNotSent;  // change under way to the replica
  };
  static constexpr std::uint64_t kNotSent = ~std::uint64_t{0};

  void requeue(const ReplicationBatch::Sent& sent);

  std::map<std::string, MissingRecord> missing_;
  std::set<std::pair<std::uint64_t, std::string>> by_change_;  // same entries, by `since`
  std::deque<std::string> unsent_;  // may name keys that are sent or confirmed meanwhile
  unsigned in_flight_ = 0;
  bool stalled_ = false;  // a message failed, and none was confirmed since: its disk may hang
  bool tracked_;          // `missing_` names every record that the replica may lack
  bool content_known_ = false;
  bool established_ = false;
};

}  // namespace winchhall::cluster
