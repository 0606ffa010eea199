// Removes members from a group of even size, which tolerates no more losses than the next smaller one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// Removes this node before its planned shutdown, and a member or learner that has been unreachable for a long
// time without being replaced.
//
// A planned replacement adds the new machine first. Between the shutdown of the old one and its removal the
// group would have a permanently failed member and would tolerate one loss less than before.
class ExcessMemberRemover {
 public:
  // `unreachable_after`: a member that is unreachable for longer is assumed to have failed permanently.
  // `on_record` is called with the record that is chosen after a change was tried. All references must
  // outlive this object.
  ExcessMemberRemover(GroupContext& group, RegisterClient& registers, const PeerTable& peers,
                      Millis unreachable_after, std::function<void(const wire::MemberRecord&)> on_record);

  // Removes an unreachable learner or excess member, if there is one. To be called periodically.
  void remove_unreachable_member();
  // Before this node's shutdown: removes it from the group if it is an excess member and all other members
  // are reachable and vote, so that enough of them hold its state. `done` is called once, from within
  // this function or later, after at most `limit`.
  void leave(Millis limit, std::function<void()> done);

 private:
  bool is_proposer() const;
  bool all_others_vote() const;
  void try_to_leave();
  void propose_record(const wire::MemberRecord& next);
  void finish_leaving();

  GroupContext& group_;
  RegisterClient& registers_;
  const PeerTable& peers_;
  const Millis unreachable_after_;
  const std::function<void(const wire::MemberRecord&)> on_record_;
  bool change_in_progress_ = false;  // of the member record
  std::uint64_t leaving_id_ = 0;
  TimePoint leave_by_{};
  std::function<void()> on_left_;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
