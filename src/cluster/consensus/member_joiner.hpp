// Admits machines to the control group on their request, one change of the member record at a time.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// How a candidate stands that would make the group larger than it ever was.
enum class GroupGrowth {
  allowed,
  too_early,  // a member may just have gone whose place it is to take
};

// The next record on the way to a group with this candidate in it; none: nothing to change now. A member at
// the candidate's address under another id has lost its disk. A member that has been silent for long gives
// way to a candidate from elsewhere; the group never gets smaller than its largest size less one.
// `gone`: how long a member has to be silent for that.
std::optional<wire::MemberRecord> next_member_record(const wire::MemberRecord& record,
                                                     const wire::Member& candidate, const GroupContext& group,
                                                     const PeerTable& peers, GroupGrowth growth, Millis gone);

class MemberJoiner {
 public:
  // `gone`: a member that was silent for so long gives way to a candidate. `on_record` is told of every
  // chosen record that a change brings up.
  MemberJoiner(GroupContext& group, RegisterClient& registers, const PeerTable& peers, Millis gone,
               std::function<void(const wire::MemberRecord&)> on_record);

  // Answers at once with the newest record; changes it later where the candidate is to be admitted. No
  // candidate: the sender only wants the record.
  void handle(const wire::JoinRequest& request, const ReplyCallback& reply);
  // The group's record is a newer one: goes on with the candidate for which a member was removed.
  void record_adopted();

 private:
  bool may_join(const wire::Member& candidate) const;
  GroupGrowth growth(std::uint64_t candidate);
  // Asks the candidate itself: a request may be late and its sender long gone.
  void verify(const wire::Member& candidate);
  void change_record(const wire::Member& candidate);

  GroupContext& group_;
  RegisterClient& registers_;
  const PeerTable& peers_;
  const Millis unreachable_after_;
  const std::function<void(const wire::MemberRecord&)> on_record_;
  const TimePoint started_at_;
  std::map<std::uint64_t, TimePoint> first_requested_at_;  // by candidate
  std::optional<wire::Member> pending_candidate_;          // a place was made for this candidate
  bool busy_ = false;
};

}  // namespace winchhall::cluster
