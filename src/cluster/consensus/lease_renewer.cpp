#include "cluster/consensus/lease_renewer.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/lease_timing.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kLeaseCallTimeout{500};
constexpr Millis kAcquireTimeout{500};  // without a majority by then, the epoch is given up

}  // namespace

LeaseRenewer::LeaseRenewer(GroupContext& group, std::string shard, std::uint64_t epoch,
                           LeaseCallbacks callbacks)
    : group_(group),
      shard_(std::move(shard)),
      epoch_(epoch),
      session_(group.next_unique_id()),
      callbacks_(std::move(callbacks)),
      highest_epoch_(epoch) {}

void LeaseRenewer::start() {
  end_ = group_.runtime().now() + kAcquireTimeout;
  arm_expiry_timer();
  send_round();
}

wire::Envelope LeaseRenewer::request(bool release) const {
  wire::Envelope envelope;
  wire::LeaseRequest& request = *envelope.mutable_lease_request();
  request.set_shard(shard_);
  request.set_epoch(epoch_);
  request.set_holder(group_.self_id());
  request.set_session(session_);
  const wire::Member* self = find_member(group_.record(), group_.self_id());
  if (self) request.set_holder_address(self->address());
  request.set_duration_ms(static_cast<std::uint32_t>(kLeaseDuration.count()));
  request.set_member_epoch(group_.record().epoch());
  request.set_release(release);
  request.set_asking(!acquired_);
  return envelope;
}

void LeaseRenewer::send_round() {
  auto round = std::make_shared<Round>();
  round->sent_at = group_.runtime().now();
  round->record = group_.record();
  for (const wire::Member& member : round->record.members()) {
    if (acquired_ || member.id() != group_.self_id()) ask(round, member);
  }
  if (!acquired_) request_own_lease_last(round);
  renew_timer_ = group_.runtime().after(kRenewInterval, [this] { send_round(); });
}

void LeaseRenewer::ask(const std::shared_ptr<Round>& round, const wire::Member& member) {
  group_.call(member, request(false), kLeaseCallTimeout,
              [weak = weak_from_this(), round, member](const CallResult& result) {
                const std::shared_ptr<LeaseRenewer> self = weak.lock();
                if (self && !self->ended_) self->answered(round, member, result);
              });
}

// A node that reaches no majority must not raise the epoch promised here: coming back with it, it would
// depose the holder that the others have.
void LeaseRenewer::request_own_lease_last(const std::shared_ptr<Round>& round) {
  if (round->own_lease_requested || round->granted.size() + 1 < majority(round->record)) return;
  const wire::Member* self = find_member(round->record, group_.self_id());
  if (self == nullptr) return;
  round->own_lease_requested = true;
  ask(round, *self);
}

void LeaseRenewer::answered(const std::shared_ptr<Round>& shared, const wire::Member& member,
                            const CallResult& result) {
  Round& round = *shared;
  if (!result.answer || !result.answer->has_lease_reply()) return;
  const wire::LeaseReply& reply = result.answer->lease_reply();
  if (find_member(round.record, reply.acceptor()) == nullptr) return;
  highest_epoch_ = std::max(highest_epoch_, reply.epoch());
  if (reply.member_epoch() != round.record.epoch())
    group_.on_member_epoch_observed(reply.member_epoch(), member);
  const bool same_record = reply.member_epoch() == round.record.epoch();
  if (reply.granted() && same_record && reply.epoch() == epoch_) {
    if (reply.voting()) count_grant(round, reply.acceptor());
    if (!ended_ && !acquired_) request_own_lease_last(shared);
    if (!ended_) callbacks_.on_granted(reply.acceptor(), reply.voting());
    return;
  }
  ++round.refused;
  const auto members = static_cast<std::size_t>(round.record.members_size());
  const bool hopeless = !acquired_ && round.refused + majority(round.record) > members;
  if (reply.epoch() > epoch_ || hopeless) lose();
}

void LeaseRenewer::count_grant(Round& round, std::uint64_t member) {
  if (!round.granted.insert(member).second) return;
  if (round.granted.size() == majority(round.record)) on_majority_granted(round);
}

void LeaseRenewer::on_majority_granted(const Round& round) {
  const TimePoint end = round.sent_at + kLeaseUsable;
  if (acquired_) {
    end_ = std::max(end_, end);
    return;
  }
  acquired_ = true;
  end_ = end;
  granted_under_ = round.record.epoch();
  arm_expiry_timer();
  callbacks_.on_acquired();
}

void LeaseRenewer::arm_expiry_timer() {
  const auto left = std::chrono::duration_cast<Millis>(end_ - group_.runtime().now()) + Millis(1);
  end_timer_ = group_.runtime().after(std::max(left, Millis(0)), [this] {
    if (group_.runtime().now() < end_) {
      arm_expiry_timer();
    } else {
      lose();
    }
  });
}

void LeaseRenewer::release() {
  if (ended_) return;
  ended_ = true;
  renew_timer_.reset();
  end_timer_.reset();
  const wire::Envelope message = request(true);
  const wire::MemberRecord record = group_.record();
  for (const wire::Member& member : record.members()) {
    group_.call(member, message, kLeaseCallTimeout, [](const CallResult&) {});
  }
}

void LeaseRenewer::lose() {
  if (ended_) return;
  const std::shared_ptr<LeaseRenewer> self = shared_from_this();
  release();
  callbacks_.on_lost();
}

}  // namespace winchhall::cluster
