// Takes members out of a group of even size, which bears no more losses than the next smaller one: a member
// that ends by plan, and one that stays silent though no machine has come in its place.
//
// A planned replacement adds the new machine first. Between the end of the old one and its removal the group
// would have one member that is down for good, and would bear one loss less than before.
#pragma once

#include <functional>
#include <memory>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

class ExcessMemberRemover {
 public:
  // `gone`: a member that was silent for so long is taken to be down for good. `on_record` is told of every
  // chosen record that a change brings up. All references outlive this object.
  ExcessMemberRemover(GroupContext& group, RegisterClient& registers, const PeerTable& peers, Millis gone,
                      std::function<void(const wire::MemberRecord&)> on_record);

  // Removes a silent surplus member, if there is one. To be called now and then.
  void check();
  // This node is about to end: it leaves the group where it is a surplus member and all others vote, so that
  // what it holds is on enough of them. `done` is called once, after at most `limit`.
  void leave(Millis limit, std::function<void()> done);

 private:
  bool is_proposer() const;
  bool all_others_vote() const;
  void try_to_leave();
  void remove(std::uint64_t member);
  void left();

  GroupContext& group_;
  RegisterClient& registers_;
  const PeerTable& peers_;
  const Millis unreachable_after_;
  const std::function<void(const wire::MemberRecord&)> on_record_;
  bool busy_ = false;
  std::uint64_t leaving_id_ = 0;
  TimePoint leave_by_{};
  std::function<void()> on_left_;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace winchhall::cluster
