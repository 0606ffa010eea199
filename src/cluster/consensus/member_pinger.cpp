#include "cluster/consensus/member_pinger.hpp"

#include <utility>

#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/register_keys.hpp"

namespace winchhall::cluster {

namespace {
constexpr Millis kPingTimeout{500};
}

MemberPinger::MemberPinger(GroupContext& group, const Acceptor& acceptor, PeerTable& peers, Address address,
                           std::function<std::uint64_t()> copied_epoch, PingCallbacks callbacks)
    : group_(group),
      acceptor_(acceptor),
      peers_(peers),
      address_(std::move(address)),
      copied_epoch_(std::move(copied_epoch)),
      callbacks_(std::move(callbacks)) {}

void MemberPinger::ping_members() {
  for (const wire::Member& member : group_.record().members()) {
    if (member.id() != group_.self_id()) ping(member);
  }
  for (const wire::Member& learner : group_.record().learners()) {
    if (learner.id() != group_.self_id()) ping(learner);
  }
}

void MemberPinger::handle(const wire::MemberPing& ping, const ReplyCallback& reply) {
  wire::Envelope answer;
  wire::MemberPing& answering_ping = *answer.mutable_member_ping();
  answering_ping = make_ping();
  if (ping.wants_shards()) {
    *answering_ping.mutable_accepted_configuration() =
        acceptor_.registers().accepted_ballot(kConfigurationRegisterKey);
    for (std::string& shard : acceptor_.shards().shards_with_records())
      answering_ping.add_shards(std::move(shard));
  }
  reply(std::move(answer));
  on_ping_received(ping);
  ping_sender_without_contact(ping.from());
}

wire::MemberPing MemberPinger::make_ping() const {
  wire::MemberPing ping;
  ping.set_from(group_.self_id());
  ping.set_member_epoch(group_.record().epoch());
  ping.set_address(address_);
  ping.set_voting(group_.voting());
  ping.set_reads_snapshots(true);
  ping.set_knows_learners(true);
  ping.set_copied_epoch(copied_epoch_());
  if (const std::optional<RegisterValue> value = acceptor_.registers().chosen(kConfigurationRegisterKey)) {
    *ping.mutable_configuration_ballot() = value->ballot;
  }
  for (wire::ShardLeader& leader : acceptor_.shards().leases_in_force())
    *ping.add_leaders() = std::move(leader);
  return ping;
}

void MemberPinger::ping(const wire::Member& member) {
  wire::Envelope request;
  *request.mutable_member_ping() = make_ping();
  const TimePoint sent_at = group_.runtime().now();
  group_.call(member, std::move(request), kPingTimeout, [this, member, sent_at](const CallResult& result) {
    if (!result.answer || !result.answer->has_member_ping() ||
        result.answer->member_ping().from() != member.id()) {
      return peers_.on_ping_failed(member.id());
    }
    const wire::MemberPing& answer = result.answer->member_ping();
    peers_.on_ping_answered(member.id(), sent_at, answer.voting());
    on_ping_received(answer);
  });
}

void MemberPinger::ping_sender_without_contact(std::uint64_t sender) {
  const wire::Member* member = find_member(group_.record(), sender);
  if (member == nullptr || sender == group_.self_id()) return;
  if (!peers_.contacted_within(sender, kContactTimeout)) ping(*member);
}

void MemberPinger::on_ping_received(const wire::MemberPing& ping) {
  if (ping.member_epoch() > group_.record().epoch() && !ping.address().empty()) {
    callbacks_.on_newer_member_record(ping.address());
  }
  peers_.record_reported_leases(ping);
  if (ping.reads_snapshots()) peers_.set_reads_snapshots(ping.from());
  if (ping.knows_learners()) peers_.set_knows_learners(ping.from());
  callbacks_.on_configuration_ballot(ping.configuration_ballot());
}

}  // namespace winchhall::cluster
