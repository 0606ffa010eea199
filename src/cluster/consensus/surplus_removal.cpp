#include "cluster/consensus/surplus_removal.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "cluster/consensus/member_change.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kLeaveRetry{50};
}

SurplusRemoval::SurplusRemoval(GroupView& group, RegisterClient& registers, const PeerBook& peers,
                               Millis gone, std::function<void(const wire::MemberRecord&)> on_record)
    : group_(group), registers_(registers), peers_(peers), gone_(gone), on_record_(std::move(on_record)) {}

void SurplusRemoval::check() {
  if (busy_ || !group_.voting() || !group_.in_touch() || !is_proposer()) return;
  if (!has_surplus_member(group_.record())) return;
  const wire::Member* silent = find_silent_member(group_.record(), peers_, gone_);
  if (silent) remove(silent->id());
}

// One of the members that are heard, so that they don't race for the change.
bool SurplusRemoval::is_proposer() const {
  const std::vector<std::uint64_t> voters = group_.voting_members_heard();
  const auto first = std::min_element(voters.begin(), voters.end());
  return first != voters.end() && *first == group_.self_id();
}

void SurplusRemoval::remove(std::uint64_t member) {
  busy_ = true;
  change_member_record(registers_, group_.record(), shrunk_without_member(group_.record(), member),
                       [this](const std::optional<wire::MemberRecord>& chosen) {
                         busy_ = false;
                         if (chosen) on_record_(*chosen);
                       });
}

void SurplusRemoval::leave(Millis limit, std::function<void()> done) {
  leaving_id_ = group_.self_id();
  leave_by_ = group_.runtime().now() + limit;
  on_left_ = std::move(done);
  try_to_leave();
}

bool SurplusRemoval::all_others_vote() const {
  const auto members = static_cast<std::size_t>(group_.record().members_size());
  return group_.voting_members_heard().size() == members;
}

void SurplusRemoval::try_to_leave() {
  const bool member = find_member(group_.record(), leaving_id_) != nullptr;
  if (!member || !has_surplus_member(group_.record()) || group_.runtime().now() >= leave_by_) return left();
  if (!busy_ && group_.voting() && group_.in_touch() && all_others_vote()) remove(leaving_id_);
  retry_timer_ = group_.runtime().after(kLeaveRetry, [this] { try_to_leave(); });
}

void SurplusRemoval::left() {
  retry_timer_.reset();
  const std::function<void()> done = std::exchange(on_left_, nullptr);
  if (done) done();
}

}  // namespace winchhall::cluster
