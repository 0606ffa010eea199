// Interface of the control group for its proposers and lease holders.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Implemented by ControlGroup and by test doubles. All calls must be made on the event loop.
class GroupContext {
 public:
  virtual ~GroupContext() = default;

  virtual Runtime& runtime() = 0;
  // The newest durable member record; epoch 0: none known yet.
  virtual const wire::MemberRecord& record() const = 0;
  // This node's member id.
  virtual std::uint64_t self_id() const = 0;
  // A new id, never 0, that neither another process nor another incarnation of this one generates.
  virtual std::uint64_t next_unique_id() = 0;
  // True if this node is a member of the newest record and holds all state.
  virtual bool voting() const = 0;
  // True if a majority of the members, this node included, answered a ping recently (`kContactTimeout`).
  virtual bool has_quorum_contact() const = 0;
  // Ids of the members that vote and answered a ping recently, this node included if it votes.
  virtual std::vector<std::uint64_t> reachable_voters() const = 0;

  // Calls a member; this node itself is called without the network and without a time-out. `done` is called
  // at most once, never from within this function. It is not called if the group is destroyed before, nor if
  // this node does not answer its own request.
  virtual void call(const wire::Member& member, wire::Envelope request, Millis timeout,
                    std::function<void(CallResult)> done) = 0;
  // Runs an action soon, never from within this function.
  virtual void defer(std::function<void()> action) = 0;
  // A member answered with this member epoch. If it differs from this node's, the side with the older record
  // gets the newer one.
  virtual void on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) = 0;

  // The newest lease on a shard that this node knows to be in force, if any.
  virtual std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const = 0;
  // Number of shards whose leases this node holds.
  virtual std::size_t own_lease_count() const = 0;
  // Highest epoch that this node's acceptor promised for a shard; 0: none.
  virtual std::uint64_t promised_epoch(const std::string& shard) const = 0;
};

}  // namespace winchhall::cluster
