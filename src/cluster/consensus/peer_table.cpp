#include "cluster/consensus/peer_table.hpp"

#include <utility>

#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
// Consecutive unanswered pings. Elapsed time alone isn't sufficient: to a node that was itself suspended,
// several of its pings appear unanswered at once.
constexpr unsigned kUnreachableAfterFailures = 6;
}  // namespace

const PeerTable::Peer* PeerTable::find(std::uint64_t member) const {
  const auto found = peers_.find(member);
  return found == peers_.end() ? nullptr : &found->second;
}

PeerTable::Peer* PeerTable::find(std::uint64_t member) {
  const auto found = peers_.find(member);
  return found == peers_.end() ? nullptr : &found->second;
}

void PeerTable::track_members(const wire::MemberRecord& record) {
  std::erase_if(peers_,
                [&](const auto& entry) { return find_member_or_learner(record, entry.first) == nullptr; });
  for (const wire::Member& member : record.members()) track(member.id());
  for (const wire::Member& learner : record.learners()) track(learner.id());
}

void PeerTable::track(std::uint64_t member) {
  const auto [entry, added] = peers_.try_emplace(member);
  if (added) entry->second.last_contact_at = runtime_.now();
}

void PeerTable::on_ping_answered(std::uint64_t member, TimePoint sent_at, bool voting) {
  Peer* peer = find(member);
  if (!peer) return;
  peer->consecutive_failures = 0;
  if (peer->ever_contacted && sent_at < peer->last_contact_at) return;
  peer->ever_contacted = true;
  peer->last_contact_at = sent_at;
  peer->voting = voting;
}

void PeerTable::on_ping_failed(std::uint64_t member) {
  if (Peer* peer = find(member)) ++peer->consecutive_failures;
}

void PeerTable::record_reported_leases(const wire::MemberPing& ping) {
  for (const wire::ShardLeader& leader : ping.leaders()) {
    if (leader.unconfirmed()) continue;
    const TimePoint expiry = runtime_.now() + Millis(leader.remaining_ms());
    ReportedLease& known = leases_[leader.shard()];
    const bool newer = leader.epoch() > known.leader.epoch();
    const bool longer = leader.epoch() == known.leader.epoch() && expiry > known.expiry;
    if (newer || longer) known = {leader, expiry};
  }
}

bool PeerTable::contacted_within(std::uint64_t member, Millis duration) const {
  const Peer* peer = find(member);
  return peer && peer->ever_contacted && runtime_.now() - peer->last_contact_at <= duration;
}

bool PeerTable::votes(std::uint64_t member) const {
  const Peer* peer = find(member);
  return peer && peer->voting;
}

void PeerTable::set_reads_snapshots(std::uint64_t member) {
  if (Peer* peer = find(member)) peer->reads_snapshots = true;
}

bool PeerTable::reads_snapshots(std::uint64_t member) const {
  const Peer* peer = find(member);
  return peer && peer->reads_snapshots;
}

void PeerTable::set_knows_learners(std::uint64_t member) {
  if (Peer* peer = find(member)) peer->knows_learners = true;
}

bool PeerTable::knows_learners(std::uint64_t member) const {
  const Peer* peer = find(member);
  return peer && peer->knows_learners;
}

bool PeerTable::unreachable_for(std::uint64_t member, Millis duration) const {
  const Peer* peer = find(member);
  if (!peer || peer->consecutive_failures < kUnreachableAfterFailures) return false;
  return runtime_.now() - peer->last_contact_at > duration;
}

TimePoint PeerTable::last_contact_at(std::uint64_t member) const {
  const Peer* peer = find(member);
  return peer ? peer->last_contact_at : TimePoint{};
}

std::optional<wire::ShardLeader> PeerTable::unexpired_leader(const ReportedLease& lease) const {
  const TimePoint now = runtime_.now();
  if (now >= lease.expiry) return std::nullopt;
  wire::ShardLeader leader = lease.leader;
  const auto remaining = std::chrono::duration_cast<Millis>(lease.expiry - now).count();
  leader.set_remaining_ms(static_cast<std::uint32_t>(remaining + 1));
  return leader;
}

std::optional<wire::ShardLeader> PeerTable::leader(const std::string& shard) const {
  const auto found = leases_.find(shard);
  return found == leases_.end() ? std::nullopt : unexpired_leader(found->second);
}

std::vector<wire::ShardLeader> PeerTable::leaders() const {
  std::vector<wire::ShardLeader> leaders;
  for (const auto& [shard, lease] : leases_) {
    if (std::optional<wire::ShardLeader> leader = unexpired_leader(lease))
      leaders.push_back(std::move(*leader));
  }
  return leaders;
}

namespace {

const wire::Member* find_longest_unreachable(const google::protobuf::RepeatedPtrField<wire::Member>& members,
                                             const PeerTable& peers, Millis duration) {
  const wire::Member* longest = nullptr;
  for (const wire::Member& member : members) {
    if (!peers.unreachable_for(member.id(), duration)) continue;
    const bool longer = !longest || peers.last_contact_at(member.id()) < peers.last_contact_at(longest->id());
    if (longer) longest = &member;
  }
  return longest;
}

}  // namespace

const wire::Member* find_unreachable_member(const wire::MemberRecord& record, const PeerTable& peers,
                                            Millis duration) {
  return find_longest_unreachable(record.members(), peers, duration);
}

const wire::Member* find_unreachable_learner(const wire::MemberRecord& record, const PeerTable& peers,
                                             Millis duration) {
  return find_longest_unreachable(record.learners(), peers, duration);
}

}  // namespace winchhall::cluster
