// The control group as its proposers and lease holders use it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Implemented by ControlGroup, and by tests. All calls on the event loop.
class GroupContext {
 public:
  virtual ~GroupContext() = default;

  virtual Runtime& runtime() = 0;
  // The newest durable member record; epoch 0: none known yet.
  virtual const wire::MemberRecord& record() const = 0;
  // This node's member id.
  virtual std::uint64_t self_id() const = 0;
  // An id that neither another process nor another incarnation of this one draws; never 0.
  virtual std::uint64_t next_unique_id() = 0;
  // True if this node is a member of the newest record and holds all state.
  virtual bool voting() const = 0;
  // True if a majority of the members, this node included, answered a ping recently (`kContactTimeout`).
  virtual bool has_quorum_contact() const = 0;
  // Ids of the members that vote and answered a ping recently, this node included if it votes.
  virtual std::vector<std::uint64_t> reachable_voters() const = 0;

  // Calls a member; this node itself is called without the network and without a time-out. `done` is called
  // at most once, never from within this function: not if the group ends before, nor if this node leaves its
  // own request unanswered.
  virtual void call(const wire::Member& member, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;
  // Runs an action soon, never from within this function.
  virtual void defer(std::function<void()> action) = 0;
  // A member answered under this epoch. If it differs from this node's, the older side is brought up to date.
  virtual void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) = 0;

  // The newest lease on a shard that is known here to be in force; none: no such lease.
  virtual std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const = 0;
  // Number of shards whose leases this node holds.
  virtual std::size_t own_lease_count() const = 0;
  // Highest epoch that this node's acceptor promised for a shard; 0: none.
  virtual std::uint64_t promised_epoch(const std::string& shard) const = 0;
};

}  // namespace winchhall::cluster
