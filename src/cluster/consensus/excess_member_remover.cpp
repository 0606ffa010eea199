#include "cluster/consensus/excess_member_remover.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "cluster/consensus/member_change.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kLeaveRetry{50};
}

ExcessMemberRemover::ExcessMemberRemover(GroupContext& group, RegisterClient& registers,
                                         const PeerTable& peers, Millis gone,
                                         std::function<void(const wire::MemberRecord&)> on_record)
    : group_(group),
      registers_(registers),
      peers_(peers),
      unreachable_after_(gone),
      on_record_(std::move(on_record)) {}

void ExcessMemberRemover::check() {
  if (busy_ || !group_.voting() || !group_.has_quorum_contact() || !is_proposer()) return;
  if (!has_excess_member(group_.record())) return;
  const wire::Member* silent = find_unreachable_member(group_.record(), peers_, unreachable_after_);
  if (silent) remove(silent->id());
}

// One of the members that are heard, so that they don't race for the change.
bool ExcessMemberRemover::is_proposer() const {
  const std::vector<std::uint64_t> voters = group_.reachable_voters();
  const auto first = std::min_element(voters.begin(), voters.end());
  return first != voters.end() && *first == group_.self_id();
}

void ExcessMemberRemover::remove(std::uint64_t member) {
  busy_ = true;
  change_member_record(registers_, group_.record(), shrunk_without_member(group_.record(), member),
                       [this](const std::optional<wire::MemberRecord>& chosen) {
                         busy_ = false;
                         if (chosen) on_record_(*chosen);
                       });
}

void ExcessMemberRemover::leave(Millis limit, std::function<void()> done) {
  leaving_id_ = group_.self_id();
  leave_by_ = group_.runtime().now() + limit;
  on_left_ = std::move(done);
  try_to_leave();
}

bool ExcessMemberRemover::all_others_vote() const {
  const auto members = static_cast<std::size_t>(group_.record().members_size());
  return group_.reachable_voters().size() == members;
}

void ExcessMemberRemover::try_to_leave() {
  const bool member = find_member(group_.record(), leaving_id_) != nullptr;
  if (!member || !has_excess_member(group_.record()) || group_.runtime().now() >= leave_by_) return left();
  if (!busy_ && group_.voting() && group_.has_quorum_contact() && all_others_vote()) remove(leaving_id_);
  retry_timer_ = group_.runtime().after(kLeaveRetry, [this] { try_to_leave(); });
}

void ExcessMemberRemover::left() {
  retry_timer_.reset();
  const std::function<void()> done = std::exchange(on_left_, nullptr);
  if (done) done();
}

}  // namespace winchhall::cluster
