// This node's identity and its membership in the control group, as stored on its disk.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/commit_queue.hpp"
#include "cluster/consensus/membership_status.hpp"
#include "cluster/consensus/peer_table.hpp"

namespace winchhall::cluster {

// Notifications of a LocalMembership. All are called on the event loop, after `LocalMembership` was updated.
struct MembershipCallbacks {
  // This node begins to vote. Called first of the three.
  std::function<void()> on_voting_started;
  // A newer member record is durable here and in use.
  std::function<void()> on_record_adopted;
  // The transferred state is durable: this node is synchronized, or a learner that may be promoted.
  std::function<void()> on_synchronized;
};

// Owns this node's identity (member id, whether it holds all state) and the newest member record that it
// knows. Both are used only once they are durable, so that a restarted node never acts on an older record
// than before the restart. A node that learns of its removal generates a new id and has to copy the state
// again: an id that was removed is never admitted again (see member_record.hpp).
class LocalMembership {
 public:
  // All references must outlive this object.
  LocalMembership(Runtime& runtime, CommitQueue& commit_queue, PeerTable& peers, const NodeSettings& settings,
                  MembershipCallbacks callbacks);

  // Loads one entry of the store at startup. Returns false if it belongs to another component.
  bool load(std::string_view key, std::string_view value);
  // To be called after all entries are loaded.
  void finish_load();
  bool has_identity() const { return identity_.id() != 0; }
  // At the first start of this node: creates an identity, and for a founder the founding record, makes them
  // durable and then calls `on_durable`.
  void initialize_identity(std::function<void()> on_durable);

  // Adopts a record that is known to be chosen, if it is newer than the newest one known.
  void adopt(const wire::MemberRecord& record);
  // True if the newest record known here has this epoch and is durable.
  bool is_newest_epoch(std::uint64_t epoch) const;
  // Makes the state copied under this member epoch durable, together with the fact that this node holds it.
  void commit_synchronized(StoreBatch transferred_state, std::uint64_t member_epoch);

  const wire::MemberRecord& record() const { return record_; }
  const MembershipStatus& status() const { return status_; }
  // True if this node has to copy the other members' state, possibly once more: it is a member that doesn't
  // hold the state, an unconfirmed member, or a learner that copied it under an earlier member epoch.
  bool needs_state_transfer() const;
  // Member epoch under which this node last copied the state; 0: never.
  std::uint64_t copied_epoch() const { return identity_.copied_epoch(); }
  // True if the newest record names this node as a member.
  bool is_member() const;
  // This node's entry for a member record.
  wire::Member self() const;

 private:
  void use_record(const wire::MemberRecord& record, const wire::NodeIdentity& identity);
  void update_status();

  Runtime& runtime_;
  CommitQueue& commit_queue_;
  PeerTable& peers_;
  const NodeSettings& settings_;
  const MembershipCallbacks callbacks_;
  wire::NodeIdentity identity_;
  wire::MemberRecord record_;         // durable
  std::uint64_t adopting_epoch_ = 0;  // of the newest record, durable or being written
  MembershipStatus status_;
};

}  // namespace winchhall::cluster
