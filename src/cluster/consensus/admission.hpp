// Admits machines to the control group on their request, one change of the member record at a time.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "cluster/consensus/group_view.hpp"
#include "cluster/consensus/peer_book.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// How a candidate stands that would make the group larger than it ever was.
enum class Growth {
  allowed,
  too_early,  // a member may just have gone whose place it is to take
};

// The next record on the way to a group with this candidate in it; none: nothing to change now. A member at
// the candidate's address under another id has lost its disk. A member that has been silent for long gives
// way to a candidate from elsewhere; the group never gets smaller than its largest size less one.
// `gone`: how long a member has to be silent for that.
std::optional<wire::MemberRecord> next_record(const wire::MemberRecord& record, const wire::Member& candidate,
                                              const GroupView& group, const PeerBook& peers, Growth growth,
                                              Millis gone);

class Admission {
 public:
  // `gone`: a member that was silent for so long gives way to a candidate. `on_record` is told of every
  // chosen record that a change brings up.
  Admission(GroupView& group, RegisterClient& registers, const PeerBook& peers, Millis gone,
            std::function<void(const wire::MemberRecord&)> on_record);

  // Answers at once with the newest record; changes it later where the candidate is to be admitted. No
  // candidate: the sender only wants the record.
  void handle(const wire::JoinRequest& request, const Replier& reply);
  // The group's record is a newer one: goes on with the candidate for which a member was removed.
  void record_adopted();

 private:
  bool may_admit(const wire::Member& candidate) const;
  Growth growth(std::uint64_t candidate);
  // Asks the candidate itself: a request may be late and its sender long gone.
  void verify(const wire::Member& candidate);
  void change_record(const wire::Member& candidate);

  GroupView& group_;
  RegisterClient& registers_;
  const PeerBook& peers_;
  const Millis gone_;
  const std::function<void(const wire::MemberRecord&)> on_record_;
  const TimePoint started_at_;
  std::map<std::uint64_t, TimePoint> first_asked_;  // by candidate
  std::optional<wire::Member> next_in_;             // a place was made for this candidate
  bool busy_ = false;
};

}  // namespace winchhall::cluster
