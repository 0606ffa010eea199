// What proposers and lease holders need of the control group.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class GroupContext {
 public:
  virtual ~GroupContext() = default;

  virtual Runtime& runtime() = 0;
  // The newest durable member record; epoch 0: none known yet.
  virtual const wire::MemberRecord& record() const = 0;
  virtual std::uint64_t self_id() const = 0;
  // A number that neither another process nor another life of this one comes up with.
  virtual std::uint64_t next_unique_id() = 0;
  // A member of the newest record that holds all state.
  virtual bool voting() const = 0;
  // True while a majority of the members was heard within the last second.
  virtual bool has_quorum_contact() const = 0;
  // Members that were heard within the last second and vote, this node included.
  virtual std::vector<std::uint64_t> reachable_voters() const = 0;

  // Calls a member; this node is called without the network. `done` is called once, never from within.
  virtual void call(const wire::Member& member, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;
  // Runs an action soon, not from within this call.
  virtual void defer(std::function<void()> action) = 0;
  // A member answered under another epoch: the older side is brought up to date.
  virtual void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) = 0;

  // The lease in force on a shard as far as this node knows; none: no such lease.
  virtual std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const = 0;
  // Number of shards whose leases are in force for this node.
  virtual std::size_t own_lease_count() const = 0;
  // Highest epoch that this node promised for a shard.
  virtual std::uint64_t promised_epoch(const std::string& shard) const = 0;
};

}  // namespace winchhall::cluster
