#include "cluster/consensus/member_joiner.hpp"

#include <algorithm>
#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/consensus/member_change.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kVerifyTimeout{500};
constexpr Millis kMissing{700};    // a member silent for so long may be about to be replaced
constexpr Millis kFounding{5000};  // after its start a node lets the group grow at once
constexpr Millis kObserved{1000};  // later a candidate has to wait so long, as a member may just have gone

// Voting members heard, without one of them.
std::size_t voters_without(const GroupContext& group, std::uint64_t id) {
  const std::vector<std::uint64_t> heard = group.reachable_voters();
  return heard.size() - static_cast<std::size_t>(std::count(heard.begin(), heard.end(), id));
}

std::size_t size_of(const wire::MemberRecord& record) {
  return static_cast<std::size_t>(record.members_size());
}

bool can_remove(const wire::MemberRecord& record, std::uint64_t id, const GroupContext& group) {
  const bool large_enough = size_of(record) >= record.largest();
  return large_enough && may_remove_member(record) &&
         voters_without(group, id) >= majority_of(size_of(record) - 1);
}

bool can_add(const wire::MemberRecord& record, const GroupContext& group) {
  return group.reachable_voters().size() >= majority_of(size_of(record) + 1);
}

const wire::Member* find_predecessor(const wire::MemberRecord& record, const wire::Member& candidate) {
  for (const wire::Member& member : record.members()) {
    if (member.address() == candidate.address() && member.id() != candidate.id()) return &member;
  }
  return nullptr;
}

bool missing_member(const wire::MemberRecord& record, const GroupContext& group, const PeerTable& peers) {
  return std::any_of(record.members().begin(), record.members().end(), [&](const wire::Member& member) {
    return member.id() != group.self_id() && !peers.contacted_within(member.id(), kMissing);
  });
}

}  // namespace

std::optional<wire::MemberRecord> next_member_record(const wire::MemberRecord& record,
                                                     const wire::Member& candidate, const GroupContext& group,
                                                     const PeerTable& peers, GroupGrowth growth,
                                                     Millis gone) {
  const bool member = find_member(record, candidate.id()) != nullptr;
  if (const wire::Member* predecessor = find_predecessor(record, candidate)) {
    if (can_remove(record, predecessor->id(), group)) return without_member(record, predecessor->id());
    if (member || !can_add(record, group)) return std::nullopt;
    return with_member(record, candidate);
  }
  if (member || was_removed(record, candidate.id())) return std::nullopt;
  if (size_of(record) >= record.largest()) {
    const wire::Member* silent = find_unreachable_member(record, peers, gone);
    if (silent && can_remove(record, silent->id(), group)) return without_member(record, silent->id());
    if (growth == GroupGrowth::too_early || missing_member(record, group, peers)) return std::nullopt;
  }
  if (!can_add(record, group)) return std::nullopt;
  return with_member(record, candidate);
}

MemberJoiner::MemberJoiner(GroupContext& group, RegisterClient& registers, const PeerTable& peers,
                           Millis gone, std::function<void(const wire::MemberRecord&)> on_record)
    : group_(group),
      registers_(registers),
      peers_(peers),
      unreachable_after_(gone),
      on_record_(std::move(on_record)),
      started_at_(group.runtime().now()) {}

void MemberJoiner::handle(const wire::JoinRequest& request, const ReplyCallback& reply) {
  wire::Envelope envelope;
  wire::JoinReply& answer = *envelope.mutable_join_reply();
  answer.set_member(find_member(group_.record(), request.candidate().id()) != nullptr);
  *answer.mutable_record() = group_.record();
  reply(std::move(envelope));
  if (!busy_ && may_join(request.candidate())) verify(request.candidate());
}

bool MemberJoiner::may_join(const wire::Member& candidate) const {
  if (candidate.id() == 0 || candidate.address().empty() || candidate.id() == group_.self_id()) return false;
  if (was_removed(group_.record(), candidate.id())) return false;
  const bool settled = find_member(group_.record(), candidate.id()) != nullptr &&
                       find_predecessor(group_.record(), candidate) == nullptr;
  return !settled && group_.voting() && group_.has_quorum_contact();
}

GroupGrowth MemberJoiner::growth(std::uint64_t candidate) {
  constexpr std::size_t kRemembered = 64;
  const TimePoint now = group_.runtime().now();
  if (now - started_at_ < kFounding) return GroupGrowth::allowed;
  if (first_requested_at_.size() >= kRemembered) first_requested_at_.clear();
  const TimePoint first_asked = first_requested_at_.try_emplace(candidate, now).first->second;
  return now - first_asked >= kObserved ? GroupGrowth::allowed : GroupGrowth::too_early;
}

void MemberJoiner::verify(const wire::Member& candidate) {
  busy_ = true;
  wire::Envelope request;
  wire::MemberPing& ping = *request.mutable_member_ping();
  ping.set_from(group_.self_id());
  ping.set_member_epoch(group_.record().epoch());
  group_.call(candidate, std::move(request), kVerifyTimeout, [this, candidate](const CallResult& result) {
    busy_ = false;
    const bool there = result.answer && result.answer->has_member_ping() &&
                       result.answer->member_ping().from() == candidate.id();
    if (there && may_join(candidate)) change_record(candidate);
  });
}

void MemberJoiner::change_record(const wire::Member& candidate) {
  const wire::MemberRecord base = group_.record();
  const std::optional<wire::MemberRecord> next =
      next_member_record(base, candidate, group_, peers_, growth(candidate.id()), unreachable_after_);
  if (!next) return;
  busy_ = true;
  const bool makes_place = next->members_size() < base.members_size();
  change_member_record(registers_, base, *next,
                       [this, candidate, makes_place](const std::optional<wire::MemberRecord>& chosen) {
                         busy_ = false;
                         if (!chosen) return;
                         if (makes_place) pending_candidate_ = candidate;
                         on_record_(*chosen);
                       });
}

void MemberJoiner::record_adopted() {
  if (!pending_candidate_) return;
  const wire::Member candidate = *std::exchange(pending_candidate_, std::nullopt);
  if (!busy_ && may_join(candidate)) verify(candidate);
}

}  // namespace winchhall::cluster
