// One epoch of a shard's lease: acquisition, recovery of the records, replication under the lease.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/leader_record_table.hpp"
#include "cluster/consensus/lease_renewer.hpp"
#include "cluster/consensus/replica_progress.hpp"
#include "cluster/consensus/replicated_shard.hpp"

namespace winchhall::cluster {

// Notifications of a ShardLeadership to its owner.
struct LeadershipCallbacks {
  // This node leads from now on. `entries` holds the newest version of every record that was ever
  // acknowledged.
  std::function<void(std::vector<ShardEntry> entries)> on_lead;
  // The lease is lost or was not acquired, or a member with a higher epoch answered. Called at most once; the
  // receiver has to call `release` and `fail_writes`.
  std::function<void()> on_lost;
};

// Phases:
//   requesting_lease  until a majority has granted the epoch (see lease_renewer.hpp).
//   recovering        reads the replicas of a majority of the members as of the request and merges them (see
//                     shard_acceptor.hpp). Every acknowledged write was durable on a majority, so the merged
//                     records hold it.
//   establishing      makes the replicas of a majority equal to the merged records, so that the next holder
//                     recovers everything that this one relies on, even if this one writes nothing.
//   leading           writes: each change is numbered, sent to all members and learners, and acknowledged
//                     when a majority of voting members holds it and all changes before it.
// A change of the member record before `establishing` ends the epoch, as it may change which sets of members
// are majorities. Afterwards majorities are counted among the members of the newest record.
//
// Writes carry the epoch, which serves as fencing token: an acceptor rejects them if it promised a higher
// one. They also carry the session to which a majority promised the epoch (see ShardAcceptor::write).
//
// Owned by LeasedShard. Answers that arrive after its end are dropped.
class ShardLeadership : public std::enable_shared_from_this<ShardLeadership> {
 public:
  // `group` must outlive this object.
  ShardLeadership(GroupContext& group, std::string shard, std::uint64_t epoch, LeadershipCallbacks callbacks);

  // Requests the lease.
  void start();
  // Releases the lease. No callback is called any more.
  void release();
  // After `release`: reports all unfinished writes as lost.
  void fail_writes();

  // Stops leading immediately and for good after a failed write. Calls `on_lost` soon, not from within this
  // function.
  void abandon();

  // True if this node certainly holds the lease at the current time, leads and votes.
  bool leads() const;
  // True once `on_lead` was called.
  bool has_led() const { return phase_ == Phase::leading; }
  std::uint64_t epoch() const { return lease_->epoch(); }
  // Highest epoch of the shard seen in any answer.
  std::uint64_t highest_epoch() const;

  // See ReplicatedShard::write. To be called only while `leads()`.
  void write(const std::vector<ShardChange>& changes, std::function<void(ShardWriteOutcome)> done);
  // To be called after the member record, or this node's status in it, has changed.
  void on_membership_changed();

 private:
  enum class Phase { requesting_lease, recovering, establishing, leading };

  struct PendingWrite {
    std::uint64_t last_change = 0;
    std::function<void(ShardWriteOutcome)> done;
  };

  LeaseCallbacks lease_callbacks();
  ReplicaProgress& progress_of(std::uint64_t member);
  void on_lease_granted(std::uint64_t member, bool voting);

  // Recovery
  bool is_recovered() const { return phase_ == Phase::establishing || phase_ == Phase::leading; }
  void read_replica(std::uint64_t member);
  void on_replica_read(std::uint64_t member, std::optional<ShardReplica> replica);
  void recover_if_majority_read();
  void recover();
  void begin_leading();

  // Replication
  void replicate_to_all();
  void replicate_to(std::uint64_t member);
  void send(const wire::Member& member, ReplicationBatch batch);
  void on_batch_answered(const wire::Member& member, const ReplicationBatch& batch, const CallResult& result);
  void retry_rejected_members();
  void check_progress();
  void complete_writes();
  std::uint64_t majority_durable_change() const;
  std::size_t established_members() const;
  void end_as_lost();

  GroupContext& group_;
  const std::string shard_;
  const LeadershipCallbacks callbacks_;
  const wire::MemberRecord record_at_request_;
  std::shared_ptr<LeaseRenewer> lease_;
  Phase phase_ = Phase::requesting_lease;
  bool ended_ = false;
  bool abandoned_ = false;
  std::uint64_t highest_rejecting_epoch_ = 0;            // of members that rejected a write
  std::map<std::uint64_t, ShardReplica> read_replicas_;  // during recovery, by member
  LeaderRecordTable records_;
  std::map<std::uint64_t, ReplicaProgress> progress_;  // by member
  std::deque<PendingWrite> writes_;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
