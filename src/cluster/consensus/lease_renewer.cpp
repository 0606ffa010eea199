#include "cluster/consensus/lease_renewer.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/lease_timing.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kLeaseCallTimeout{500};
constexpr Millis kAcquireTimeout{500};  // without a majority by then the attempt fails

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
  expires_at_ = group_.runtime().now() + kAcquireTimeout;
  arm_expiry_timer();
  send_round();
}

wire::Envelope LeaseRenewer::make_request(bool release) const {
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
    if (acquired_ || member.id() != group_.self_id()) request_lease(round, member);
  }
  if (acquired_) renew_at_learners(round->record);
  if (!acquired_) request_own_lease_last(round);
  renew_timer_ = group_.runtime().after(kRenewInterval, [this] { send_round(); });
}

void LeaseRenewer::request_lease(const std::shared_ptr<Round>& round, const wire::Member& member) {
  group_.call(member, make_request(false), kLeaseCallTimeout,
              [weak = weak_from_this(), round, member](const CallResult& result) {
                const std::shared_ptr<LeaseRenewer> self = weak.lock();
                if (self && !self->ended_) self->on_reply(round, member, result);
              });
}

// A learner's answer never counts for a majority. It only shows that writes can be sent to the learner.
void LeaseRenewer::renew_at_learners(const wire::MemberRecord& record) {
  for (const wire::Member& learner : record.learners()) {
    group_.call(learner, make_request(false), kLeaseCallTimeout,
                [weak = weak_from_this(), id = learner.id()](const CallResult& result) {
                  const std::shared_ptr<LeaseRenewer> self = weak.lock();
                  if (!self || self->ended_ || !result.answer || !result.answer->has_lease_reply()) return;
                  const wire::LeaseReply& reply = result.answer->lease_reply();
                  if (reply.granted() && reply.acceptor() == id) self->callbacks_.on_granted(id, false);
                });
  }
}

void LeaseRenewer::request_own_lease_last(const std::shared_ptr<Round>& round) {
  if (round->own_lease_requested || round->granted.size() + 1 < majority(round->record)) return;
  const wire::Member* self = find_member(round->record, group_.self_id());
  if (self == nullptr) return;
  round->own_lease_requested = true;
  request_lease(round, *self);
}

void LeaseRenewer::on_reply(const std::shared_ptr<Round>& round, const wire::Member& member,
                            const CallResult& result) {
  if (!result.answer || !result.answer->has_lease_reply()) return;
  const wire::LeaseReply& reply = result.answer->lease_reply();
  if (find_member(round->record, reply.acceptor()) == nullptr) return;
  highest_epoch_ = std::max(highest_epoch_, reply.epoch());
  const bool same_record = reply.member_epoch() == round->record.epoch();
  if (!same_record) group_.on_member_epoch_observed(reply.member_epoch(), member);
  if (reply.granted() && same_record && reply.epoch() == epoch_) {
    on_granted(round, reply);
  } else {
    on_rejected(*round, reply);
  }
}

void LeaseRenewer::on_granted(const std::shared_ptr<Round>& round, const wire::LeaseReply& reply) {
  if (reply.voting()) count_grant(*round, reply.acceptor());
  if (!ended_ && !acquired_) request_own_lease_last(round);
  if (!ended_) callbacks_.on_granted(reply.acceptor(), reply.voting());
}

void LeaseRenewer::on_rejected(Round& round, const wire::LeaseReply& reply) {
  ++round.rejected;
  const auto members = static_cast<std::size_t>(round.record.members_size());
  const bool majority_impossible = !acquired_ && round.rejected + majority(round.record) > members;
  if (reply.epoch() > epoch_ || majority_impossible) end_as_lost();
}

void LeaseRenewer::count_grant(Round& round, std::uint64_t member) {
  if (!round.granted.insert(member).second) return;
  if (round.granted.size() == majority(round.record)) on_majority_granted(round);
}

void LeaseRenewer::on_majority_granted(const Round& round) {
  const TimePoint end = round.sent_at + kLeaseUsable;
  if (acquired_) {
    expires_at_ = std::max(expires_at_, end);
    return;
  }
  acquired_ = true;
  expires_at_ = end;
  arm_expiry_timer();
  callbacks_.on_acquired();
}

void LeaseRenewer::arm_expiry_timer() {
  const auto left = std::chrono::duration_cast<Millis>(expires_at_ - group_.runtime().now()) + Millis(1);
  expiry_timer_ = group_.runtime().after(std::max(left, Millis(0)), [this] {
    if (group_.runtime().now() < expires_at_) {
      arm_expiry_timer();  // renewed meanwhile
    } else {
      end_as_lost();
    }
  });
}

void LeaseRenewer::release() {
  if (ended_) return;
  ended_ = true;
  renew_timer_.reset();
  expiry_timer_.reset();
  const wire::Envelope message = make_request(true);
  const wire::MemberRecord record = group_.record();
  for (const wire::Member& member : record.members()) {
    group_.call(member, message, kLeaseCallTimeout, [](const CallResult&) {});
  }
}

void LeaseRenewer::end_as_lost() {
  if (ended_) return;
  const std::shared_ptr<LeaseRenewer> self = shared_from_this();
  release();
  callbacks_.on_lost();
}

}  // namespace winchhall::cluster
