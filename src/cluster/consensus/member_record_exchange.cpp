#include "cluster/consensus/member_record_exchange.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/register_keys.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kRecordCallTimeout{500};
constexpr Millis kMinPushInterval{50};  // between two pushes to the same member

}  // namespace

MemberRecordExchange::MemberRecordExchange(GroupContext& group, MemberRpcClient& rpc,
                                           const LocalMembership& membership, const NodeSettings& settings,
                                           std::function<void(const wire::MemberRecord& record)> on_record)
    : group_(group),
      rpc_(rpc),
      membership_(membership),
      settings_(settings),
      on_record_(std::move(on_record)),
      seeds_(settings.seed_internal_addresses()) {}

void MemberRecordExchange::on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) {
  const std::uint64_t own_epoch = membership_.record().epoch();
  if (epoch > own_epoch) fetch(member.address());
  if (epoch < own_epoch) push(member);
}

void MemberRecordExchange::fetch(const Address& address) {
  if (fetch_in_flight_) return;
  wire::Envelope request;
  request.mutable_join_request();  // without a candidate: only requests the record
  request_record(address, std::move(request), fetch_in_flight_);
}

void MemberRecordExchange::request_record(const Address& address, wire::Envelope request, bool& in_flight) {
  in_flight = true;
  rpc_.call(address, std::move(request), kRecordCallTimeout, [this, &in_flight](const CallResult& result) {
    in_flight = false;
    if (result.answer && result.answer->has_join_reply()) on_record_(result.answer->join_reply().record());
  });
}

void MemberRecordExchange::push(const wire::Member& member) {
  const TimePoint now = group_.runtime().now();
  TimePoint& pushed_at = pushed_at_[member.id()];
  if (member.id() == group_.self_id() || now - pushed_at < kMinPushInterval) return;
  pushed_at = now;
  wire::Envelope message;
  wire::RegisterChosen& chosen = *message.mutable_register_chosen();
  chosen.set_key(kMembersRegisterKey);
  chosen.set_value(membership_.record().SerializeAsString());
  rpc_.call(member.address(), std::move(message), kRecordCallTimeout, [](const CallResult&) {});
}

// A member also does while the record still contains its former identity from before it lost its disk, so
// that the group removes that one.
bool MemberRecordExchange::wants_to_join() const {
  if (!settings_.counts_for_quorum) return false;
  const wire::Member self = membership_.self();
  const auto& members = membership_.record().members();
  const bool has_predecessor = std::any_of(members.begin(), members.end(), [&](const wire::Member& other) {
    return other.address() == self.address() && other.id() != self.id();
  });
  const bool may_confirm_now = may_confirm(membership_.record(), self.id(), membership_.copied_epoch());
  return !membership_.is_member() || has_predecessor || may_confirm_now;
}

std::vector<Address> MemberRecordExchange::join_targets() const {
  std::vector<Address> targets;
  for (const wire::Member& member : membership_.record().members()) targets.push_back(member.address());
  targets.insert(targets.end(), seeds_.begin(), seeds_.end());
  if (!group_.has_quorum_contact())
    targets.insert(targets.end(), sampled_control_.begin(), sampled_control_.end());
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  std::erase(targets, settings_.internal_address());
  return targets;
}

void MemberRecordExchange::request_to_join() {
  if (leaving_ || join_in_flight_) return;
  const bool wants_to_join = this->wants_to_join();
  if (!wants_to_join && group_.has_quorum_contact()) return;
  const std::vector<Address> targets = join_targets();
  if (targets.empty()) return;
  wire::Envelope request;
  wire::JoinRequest& join = *request.mutable_join_request();
  if (wants_to_join) *join.mutable_candidate() = membership_.self();
  const Address& target = targets[next_join_target_++ % targets.size()];
  request_record(target, std::move(request), join_in_flight_);
}

}  // namespace winchhall::cluster
