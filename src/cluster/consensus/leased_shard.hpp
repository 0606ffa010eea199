// This node's part in one shard: waits for the lease to be free, takes over, leads.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/lease_renewer.hpp"
#include "cluster/consensus/replica_progress.hpp"
#include "cluster/consensus/replicated_shard.hpp"

namespace winchhall::cluster {

class LeasedShard : public ReplicatedShard {
 public:
  LeasedShard(GroupContext& group, std::string name, ShardCallbacks callbacks);
  ~LeasedShard() override;

  bool leads() const override;
  std::uint64_t epoch() const override;
  void write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) override;
  void step_down() override;

  // The group's member record, or this node's place in it, has changed.
  void record_changed();

 private:
  enum class Phase { asking, reading, establishing, leading };

  struct PendingWrite {
    std::uint64_t last_change = 0;
    std::function<void(ShardWriteOutcome)> done;
  };

  // Everything that belongs to one epoch of the lease; what answers come later find it gone.
  struct Term {
    Phase phase = Phase::asking;
    std::shared_ptr<LeaseRenewer> lease;
    wire::MemberRecord member_record_at_request;
    std::map<std::uint64_t, ShardReplica> replicas;  // read before the take-over, by member
    LeaderRecordTable records;
    std::map<std::uint64_t, ReplicaProgress> followers;
    std::deque<PendingWrite> writes;
    std::unique_ptr<Timer> retry_timer;
  };

  void schedule_check(Millis delay);
  void check();
  bool lease_is_free() const;
  Millis election_delay() const;

  void ask();
  ReplicaProgress& follower(std::uint64_t member);
  void on_lease_granted(std::uint64_t member, bool voting);
  void read_replica(std::uint64_t member);
  void replica_read(std::uint64_t member, std::optional<ShardReplica> replica);
  void recover_if_majority_read();
  void take_over();
  void lead();

  void replicate_to_all();
  void replicate_to(std::uint64_t member);
  void send(const wire::Member& member, ReplicationBatch message);
  void answered(const wire::Member& member, const ReplicationBatch& message, const CallResult& result);
  void retry_rejected_members();
  void check_progress();
  void complete_writes();
  std::uint64_t majority_durable_change() const;
  std::size_t established_members() const;
  void lose();

  GroupContext& group_;
  const std::string name_;
  const ShardCallbacks callbacks_;
  std::shared_ptr<Term> term_;
  std::uint64_t seen_epoch_ = 0;
  bool stepped_down_ = false;
  std::optional<TimePoint> request_at_;  // set while the lease is free
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace winchhall::cluster
