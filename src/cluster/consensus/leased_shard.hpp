// This node's part in one shard: waits for the lease to be free, takes over, leads.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/group_view.hpp"
#include "cluster/consensus/lease_keeper.hpp"
#include "cluster/consensus/replicated_shard.hpp"
#include "cluster/consensus/shard_follower.hpp"

namespace winchhall::cluster {

class LeasedShard : public ReplicatedShard {
 public:
  LeasedShard(GroupView& group, std::string name, ShardCallbacks callbacks);
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
    std::shared_ptr<LeaseKeeper> lease;
    wire::MemberRecord asked_under;
    std::map<std::uint64_t, ShardReplica> replicas;  // read before the take-over, by member
    HeldRecords records;
    std::map<std::uint64_t, ShardFollower> followers;
    std::deque<PendingWrite> writes;
    std::unique_ptr<Timer> retry_timer;
  };

  void schedule_check(Millis delay);
  void check();
  bool lease_is_free() const;
  Millis delay_before_asking() const;

  void ask();
  ShardFollower& follower(std::uint64_t member);
  void granted(std::uint64_t member, bool voting);
  void read_replica(std::uint64_t member);
  void replica_read(std::uint64_t member, std::optional<ShardReplica> replica);
  void take_over_if_complete();
  void take_over();
  void lead();

  void pump_all();
  void pump(std::uint64_t member);
  void send(const wire::Member& member, FollowerMessage message);
  void answered(const wire::Member& member, const FollowerMessage& message, const CallResult& result);
  void retry_refused_soon();
  void check_progress();
  void complete_writes();
  std::uint64_t durable_change() const;
  std::size_t established_members() const;
  void lose();

  GroupView& group_;
  const std::string name_;
  const ShardCallbacks callbacks_;
  std::shared_ptr<Term> term_;
  std::uint64_t seen_epoch_ = 0;
  bool stepped_down_ = false;
  std::optional<TimePoint> ask_at_;  // set while the lease is free
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace winchhall::cluster
