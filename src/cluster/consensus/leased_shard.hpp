// One node's participation in one shard: requests the lease while it is free, and leads while it holds it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/replicated_shard.hpp"
#include "cluster/consensus/shard_leadership.hpp"

namespace winchhall::cluster {

// Election: each voting node with quorum contact that knows of no lease in force waits for a delay and then
// requests the lease under an epoch above all that it has promised or seen. The delay ranks the candidates
// differently for each shard and puts nodes that lead other shards last, so that usually only one candidate
// requests the lease at a time and the leases are distributed over the nodes. Safety doesn't depend on the
// delay: only a candidate whose request a majority grants leads (see shard_leadership.hpp).
class LeasedShard : public ReplicatedShard {
 public:
  // `group` must outlive this object.
  LeasedShard(GroupContext& group, std::string name, ShardCallbacks callbacks);
  ~LeasedShard() override;

  bool leads() const override;
  std::uint64_t epoch() const override;
  void write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) override;
  void step_down() override;

  // To be called after the member record, or this node's status in it, has changed.
  void on_membership_changed();

 private:
  void schedule_check(Millis delay);
  void check_lease();
  bool lease_is_free() const;
  Millis election_delay() const;
  void request_lease();
  void step_down_on_lost_lease();

  GroupContext& group_;
  const std::string name_;
  const ShardCallbacks callbacks_;
  std::shared_ptr<ShardLeadership> leadership_;  // null: this node neither leads nor requests the lease
  std::uint64_t highest_seen_epoch_ = 0;
  bool stepped_down_ = false;
  std::optional<TimePoint> request_at_;  // set while the lease is free
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace winchhall::cluster
