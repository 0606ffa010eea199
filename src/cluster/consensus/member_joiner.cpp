#include "cluster/consensus/member_joiner.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/member_record_change.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kVerifyTimeout{500};
constexpr std::size_t kMaxCandidatesTracked = 64;
// Machines that may copy the state at the same time; each one takes a full transfer from its sources.
constexpr int kMaxLearners = 4;
// A member without contact for this long may be about to be replaced.
constexpr Millis kRecentContact{700};
// For this time after its start a node lets the group grow immediately, as the founders start one by one.
// Later a candidate has to wait for kGrowthDelay before the group grows, since a member that it can replace
// may just have failed.
constexpr Millis kFoundingPeriod{5000};
constexpr Millis kGrowthDelay{1000};

// Number of reachable voters other than the given one.
std::size_t reachable_voters_without(const GroupContext& group, std::uint64_t id) {
  const std::vector<std::uint64_t> voters = group.reachable_voters();
  return voters.size() - static_cast<std::size_t>(std::count(voters.begin(), voters.end(), id));
}

std::size_t size_of(const wire::MemberRecord& record) {
  return static_cast<std::size_t>(record.members_size());
}

// True if the group has its largest size and still has a majority of reachable voters without the member.
bool can_remove(const wire::MemberRecord& record, std::uint64_t id, const GroupContext& group) {
  const bool large_enough = size_of(record) >= record.largest();
  return large_enough && may_remove_member(record, id) &&
         reachable_voters_without(group, id) >= majority_of(size_of(record) - 1);
}

// True if a majority of the larger group is reachable with the candidate if it votes at once, else without
// it.
bool can_add(const wire::MemberRecord& record, const GroupContext& group, bool candidate_votes) {
  return group.reachable_voters().size() + (candidate_votes ? 1 : 0) >= majority_of(size_of(record) + 1);
}

bool all_know_learners(const wire::MemberRecord& record, const JoinCandidate& candidate,
                       const GroupContext& group, const PeerTable& peers) {
  return candidate.knows_learners &&
         std::all_of(record.members().begin(), record.members().end(), [&](const wire::Member& member) {
           return member.id() == group.self_id() || peers.knows_learners(member.id());
         });
}

// The record that brings the candidate one step closer to membership.
std::optional<wire::MemberRecord> record_with_candidate(const wire::MemberRecord& record,
                                                        const JoinCandidate& candidate,
                                                        const GroupContext& group, const PeerTable& peers) {
  const std::uint64_t id = candidate.member.id();
  if (!all_know_learners(record, candidate, group, peers)) {
    if (!can_add(record, group, false)) return std::nullopt;
    return with_member(record, candidate.member);
  }
  if (find_learner(record, id) == nullptr) {
    if (record.learners_size() >= kMaxLearners) return std::nullopt;
    return with_learner(record, candidate.member);
  }
  if (!may_promote(record, candidate.copied_epoch) || !can_add(record, group, true)) return std::nullopt;
  return with_promoted(record, id);
}

// The member with the candidate's address but another id: the candidate is the same machine after it lost its
// disk.
const wire::Member* find_predecessor(const wire::MemberRecord& record, const wire::Member& candidate) {
  for (const wire::Member& member : record.members()) {
    if (member.address() == candidate.address() && member.id() != candidate.id()) return &member;
  }
  return nullptr;
}

bool any_member_without_contact(const wire::MemberRecord& record, const GroupContext& group,
                                const PeerTable& peers) {
  return std::any_of(record.members().begin(), record.members().end(), [&](const wire::Member& member) {
    return member.id() != group.self_id() && !peers.contacted_within(member.id(), kRecentContact);
  });
}

}  // namespace

std::optional<wire::MemberRecord> next_member_record(const wire::MemberRecord& record,
                                                     const JoinCandidate& candidate,
                                                     const GroupContext& group, const PeerTable& peers,
                                                     GroupGrowth growth, Millis unreachable_after) {
  const std::uint64_t id = candidate.member.id();
  if (may_confirm(record, id, candidate.copied_epoch)) return with_confirmed(record);
  const bool member = find_member(record, id) != nullptr;
  if (const wire::Member* predecessor = find_predecessor(record, candidate.member)) {
    if (can_remove(record, predecessor->id(), group)) return without_member(record, predecessor->id());
    if (member) return std::nullopt;
    return record_with_candidate(record, candidate, group, peers);
  }
  if (member || was_removed(record, id)) return std::nullopt;
  if (size_of(record) >= record.largest()) {
    const wire::Member* unreachable = find_unreachable_member(record, peers, unreachable_after);
    if (unreachable && can_remove(record, unreachable->id(), group))
      return without_member(record, unreachable->id());
    if (growth == GroupGrowth::too_early || any_member_without_contact(record, group, peers))
      return std::nullopt;
  }
  return record_with_candidate(record, candidate, group, peers);
}

MemberJoiner::MemberJoiner(GroupContext& group, RegisterClient& registers, const PeerTable& peers,
                           Millis unreachable_after, std::function<void(const wire::MemberRecord&)> on_record)
    : group_(group),
      registers_(registers),
      peers_(peers),
      unreachable_after_(unreachable_after),
      on_record_(std::move(on_record)),
      started_at_(group.runtime().now()) {}

void MemberJoiner::handle(const wire::JoinRequest& request, const ReplyCallback& reply) {
  wire::Envelope envelope;
  wire::JoinReply& answer = *envelope.mutable_join_reply();
  answer.set_member(find_member(group_.record(), request.candidate().id()) != nullptr);
  *answer.mutable_record() = group_.record();
  reply(std::move(envelope));
  if (!admission_in_progress_ && may_join(request.candidate())) verify_candidate(request.candidate());
}

bool MemberJoiner::may_join(const wire::Member& candidate) const {
  if (candidate.id() == 0 || candidate.address().empty() || candidate.id() == group_.self_id()) return false;
  if (was_removed(group_.record(), candidate.id())) return false;
  const bool is_admitted = find_member(group_.record(), candidate.id()) != nullptr &&
                           find_predecessor(group_.record(), candidate) == nullptr &&
                           !is_unconfirmed(group_.record(), candidate.id());
  return !is_admitted && group_.voting() && group_.has_quorum_contact();
}

GroupGrowth MemberJoiner::growth_for(std::uint64_t candidate) {
  const TimePoint now = group_.runtime().now();
  if (now - started_at_ < kFoundingPeriod) return GroupGrowth::allowed;
  if (first_requested_at_.size() >= kMaxCandidatesTracked) first_requested_at_.clear();
  const TimePoint first_requested_at = first_requested_at_.try_emplace(candidate, now).first->second;
  return now - first_requested_at >= kGrowthDelay ? GroupGrowth::allowed : GroupGrowth::too_early;
}

void MemberJoiner::verify_candidate(const wire::Member& candidate) {
  admission_in_progress_ = true;
  wire::Envelope request;
  wire::MemberPing& ping = *request.mutable_member_ping();
  ping.set_from(group_.self_id());
  ping.set_member_epoch(group_.record().epoch());
  group_.call(candidate, std::move(request), kVerifyTimeout, [this, candidate](const CallResult& result) {
    admission_in_progress_ = false;
    const bool is_running = result.answer && result.answer->has_member_ping() &&
                            result.answer->member_ping().from() == candidate.id();
    if (!is_running || !may_join(candidate)) return;
    const wire::MemberPing& answer = result.answer->member_ping();
    change_record({candidate, answer.knows_learners(), answer.copied_epoch()});
  });
}

void MemberJoiner::change_record(const JoinCandidate& candidate) {
  const wire::MemberRecord base = group_.record();
  const std::optional<wire::MemberRecord> next = next_member_record(
      base, candidate, group_, peers_, growth_for(candidate.member.id()), unreachable_after_);
  if (!next) return;
  admission_in_progress_ = true;
  const bool frees_place = next->members_size() < base.members_size();
  change_member_record(
      registers_, base, *next,
      [this, candidate = candidate.member, frees_place](const std::optional<wire::MemberRecord>& chosen) {
        admission_in_progress_ = false;
        if (!chosen) return;
        if (frees_place) pending_candidate_ = candidate;
        on_record_(*chosen);
      });
}

void MemberJoiner::on_record_adopted() {
  if (!pending_candidate_) return;
  const wire::Member candidate = *std::exchange(pending_candidate_, std::nullopt);
  if (!admission_in_progress_ && may_join(candidate)) verify_candidate(candidate);
}

}  // namespace winchhall::cluster
