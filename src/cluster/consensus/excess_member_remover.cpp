#include "cluster/consensus/excess_member_remover.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/member_record_change.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kLeaveRetryInterval{50};
}

ExcessMemberRemover::ExcessMemberRemover(GroupContext& group, RegisterClient& registers,
                                         const PeerTable& peers, Millis unreachable_after,
                                         std::function<void(const wire::MemberRecord&)> on_record)
    : group_(group),
      registers_(registers),
      peers_(peers),
      unreachable_after_(unreachable_after),
      on_record_(std::move(on_record)) {}

void ExcessMemberRemover::remove_unreachable_member() {
  if (change_in_progress_ || !group_.voting() || !group_.has_quorum_contact() || !is_proposer()) return;
  const wire::MemberRecord& record = group_.record();
  if (const wire::Member* learner = find_unreachable_learner(record, peers_, unreachable_after_))
    return propose_record(without_learner(record, learner->id()));
  const wire::Member* unreachable = find_unreachable_member(record, peers_, unreachable_after_);
  if (unreachable && has_excess_member(record, unreachable->id()))
    propose_record(shrunk_without_member(record, unreachable->id()));
}

// True at exactly one of the reachable voters, so that they don't compete for the change.
bool ExcessMemberRemover::is_proposer() const {
  const std::vector<std::uint64_t> voters = group_.reachable_voters();
  const auto first = std::min_element(voters.begin(), voters.end());
  return first != voters.end() && *first == group_.self_id();
}

void ExcessMemberRemover::propose_record(const wire::MemberRecord& next) {
  change_in_progress_ = true;
  change_member_record(registers_, group_.record(), next,
                       [this](const std::optional<wire::MemberRecord>& chosen) {
                         change_in_progress_ = false;
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
  const wire::MemberRecord& record = group_.record();
  const bool may_leave_soon = has_excess_member(record, leaving_id_) || record.unconfirmed() != 0;
  if (!member || !may_leave_soon || group_.runtime().now() >= leave_by_) return finish_leaving();
  if (!change_in_progress_ && has_excess_member(record, leaving_id_) && group_.voting() &&
      group_.has_quorum_contact() && all_others_vote())
    propose_record(shrunk_without_member(record, leaving_id_));
  retry_timer_ = group_.runtime().after(kLeaveRetryInterval, [this] { try_to_leave(); });
}

void ExcessMemberRemover::finish_leaving() {
  retry_timer_.reset();
  const std::function<void()> done = std::exchange(on_left_, nullptr);
  if (done) done();
}

}  // namespace winchhall::cluster
