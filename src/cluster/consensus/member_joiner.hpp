// Admits machines to the control group at their request, one change of the member record at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/peer_table.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// Whether a candidate may make the group larger than its largest size so far.
enum class GroupGrowth {
  allowed,
  too_early,  // a member that the candidate should replace may just have failed
};

// A machine that requests its admission, as described by its answer to the verification ping.
struct JoinCandidate {
  wire::Member member;
  bool knows_learners = false;
  std::uint64_t copied_epoch = 0;  // member epoch under which it last copied the state; 0: never
};

// The next record towards a group with this candidate as a member; none: no change is possible now.
//   - A member with the candidate's address but another id is the same machine before it lost its disk: it is
//     removed, and the candidate is added.
//   - A member that is unreachable for longer than `unreachable_after` is removed so that a candidate on
//     another machine can replace it.
//   - Otherwise the candidate is added if the group may grow: first as a learner, and as a member after it
//     copied the state (see member_record.hpp). If it or a member doesn't know learners, as during the
//     roll-out of this version, it is added as a member immediately and copies the state afterwards.
//   - An unconfirmed member that copied the state again is declared confirmed.
// The group never gets smaller than its largest size less one, and every change leaves it with a majority of
// reachable voters.
std::optional<wire::MemberRecord> next_member_record(const wire::MemberRecord& record,
                                                     const JoinCandidate& candidate,
                                                     const GroupContext& group, const PeerTable& peers,
                                                     GroupGrowth growth, Millis unreachable_after);

// Serves requests for admission at a voting member with quorum contact. Other nodes only answer with their
// record. One candidate is verified and admitted at a time, and a change takes effect only if no other member
// changed the record in the meantime, so candidates repeat their requests until they are members.
class MemberJoiner {
 public:
  // `unreachable_after`: a member that is unreachable for longer may be replaced. `on_record` is
  // called with the record that is chosen after a change was tried. All references must outlive this object.
  MemberJoiner(GroupContext& group, RegisterClient& registers, const PeerTable& peers,
               Millis unreachable_after, std::function<void(const wire::MemberRecord&)> on_record);

  // Answers at once with the newest record; changes it afterwards if the candidate is to be admitted. A
  // request without a candidate only asks for the record.
  void handle(const wire::JoinRequest& request, const ReplyCallback& reply);
  // To be called when a newer member record is in use: continues with the candidate for which a member was
  // removed.
  void on_record_adopted();

 private:
  bool may_join(const wire::Member& candidate) const;
  GroupGrowth growth_for(std::uint64_t candidate);
  // Pings the candidate before it is admitted: a delayed request may arrive long after its sender stopped.
  void verify_candidate(const wire::Member& candidate);
  void change_record(const JoinCandidate& candidate);

  GroupContext& group_;
  RegisterClient& registers_;
  const PeerTable& peers_;
  const Millis unreachable_after_;
  const std::function<void(const wire::MemberRecord&)> on_record_;
  const TimePoint started_at_;
  std::map<std::uint64_t, TimePoint> first_requested_at_;  // by candidate
  std::optional<wire::Member> pending_candidate_;          // a member was removed for this candidate
  bool admission_in_progress_ = false;                     // a candidate is being verified or admitted
};

}  // namespace winchhall::cluster
