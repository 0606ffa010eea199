#include "cluster/consensus/peer_table.hpp"

#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {
// Pings in a row: a node that was frozen itself finds a few of its own unanswered at once.
constexpr unsigned kUnreachableAfterFailures = 6;
}  // namespace

void PeerTable::watch(const wire::MemberRecord& record) {
  std::erase_if(peers_, [&](const auto& entry) { return find_member(record, entry.first) == nullptr; });
  for (const wire::Member& member : record.members()) {
    const auto [entry, added] = peers_.try_emplace(member.id());
    if (added) entry->second.last_contact_at = runtime_.now();
  }
}

void PeerTable::answered(std::uint64_t member, TimePoint sent_at, bool voting) {
  const auto found = peers_.find(member);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.failures = 0;
  if (peer.ever_contacted && sent_at < peer.last_contact_at) return;
  peer.ever_contacted = true;
  peer.last_contact_at = sent_at;
  peer.voting = voting;
}

void PeerTable::failed(std::uint64_t member) {
  const auto found = peers_.find(member);
  if (found != peers_.end()) ++found->second.failures;
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

bool PeerTable::contacted_within(std::uint64_t member, Millis span) const {
  const auto found = peers_.find(member);
  return found != peers_.end() && found->second.ever_contacted &&
         runtime_.now() - found->second.last_contact_at <= span;
}

bool PeerTable::votes(std::uint64_t member) const {
  const auto found = peers_.find(member);
  return found != peers_.end() && found->second.voting;
}

void PeerTable::set_reads_snapshots(std::uint64_t member) {
  const auto found = peers_.find(member);
  if (found != peers_.end()) found->second.reads_snapshots = true;
}

bool PeerTable::reads_snapshots(std::uint64_t member) const {
  const auto found = peers_.find(member);
  return found != peers_.end() && found->second.reads_snapshots;
}

bool PeerTable::unreachable_for(std::uint64_t member, Millis span) const {
  const auto found = peers_.find(member);
  if (found == peers_.end()) return false;
  return found->second.failures >= kUnreachableAfterFailures &&
         runtime_.now() - found->second.last_contact_at > span;
}

TimePoint PeerTable::last_contact_at(std::uint64_t member) const {
  const auto found = peers_.find(member);
  return found == peers_.end() ? TimePoint{} : found->second.last_contact_at;
}

std::optional<wire::ShardLeader> PeerTable::describe(const ReportedLease& lease) const {
  const TimePoint now = runtime_.now();
  if (now >= lease.expiry) return std::nullopt;
  wire::ShardLeader leader = lease.leader;
  const auto remaining = std::chrono::duration_cast<Millis>(lease.expiry - now).count();
  leader.set_remaining_ms(static_cast<std::uint32_t>(remaining + 1));
  return leader;
}

std::optional<wire::ShardLeader> PeerTable::leader(const std::string& shard) const {
  const auto found = leases_.find(shard);
  return found == leases_.end() ? std::nullopt : describe(found->second);
}

std::vector<wire::ShardLeader> PeerTable::leaders() const {
  std::vector<wire::ShardLeader> leaders;
  for (const auto& [shard, lease] : leases_) {
    if (std::optional<wire::ShardLeader> leader = describe(lease)) leaders.push_back(std::move(*leader));
  }
  return leaders;
}

const wire::Member* find_unreachable_member(const wire::MemberRecord& record, const PeerTable& peers,
                                            Millis span) {
  const wire::Member* silent = nullptr;
  for (const wire::Member& member : record.members()) {
    if (!peers.unreachable_for(member.id(), span)) continue;
    if (!silent || peers.last_contact_at(member.id()) < peers.last_contact_at(silent->id())) silent = &member;
  }
  return silent;
}

}  // namespace winchhall::cluster
