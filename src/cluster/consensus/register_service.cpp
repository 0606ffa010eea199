#include "cluster/consensus/register_service.hpp"

#include <utility>

#include "cluster/consensus/member_record_change.hpp"
#include "cluster/consensus/register_keys.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kNotificationTimeout{500};

void insert_addresses(const wire::MemberRecord& record, std::set<Address>& addresses) {
  for (const wire::Member& member : record.members()) addresses.insert(member.address());
  for (const wire::Member& learner : record.learners()) addresses.insert(learner.address());
}

}  // namespace

RegisterService::RegisterService(GroupContext& group, MemberRpcClient& rpc, RegisterAcceptor& acceptor,
                                 std::uint64_t proposer, Address address,
                                 MemberRecordCallback on_member_record)
    : group_(group),
      rpc_(rpc),
      acceptor_(acceptor),
      address_(std::move(address)),
      on_member_record_(std::move(on_member_record)),
      client_(group, proposer,
              [this](const std::string& key, const RegisterValue& value, bool newly_chosen) {
                on_attempt_chosen(key, value, newly_chosen);
              }),
      watcher_(acceptor, client_) {}

void RegisterService::drop(const std::function<bool(const std::string& key)>& unneeded) {
  acceptor_.drop(unneeded);
  client_.drop(unneeded);
}

void RegisterService::on_value_learned(const std::string& key, const RegisterValue& value) {
  client_.on_value_chosen(key, value);
  if (key == kMembersRegisterKey) {
    wire::MemberRecord record;
    if (record.ParseFromString(value.value)) on_member_record_(record);
  }
  watcher_.on_value_chosen(key, value);
}

void RegisterService::on_attempt_chosen(const std::string& key, const RegisterValue& value,
                                        bool newly_chosen) {
  acceptor_.learn(key, value);
  if (!newly_chosen) return;
  wire::Envelope message;
  wire::RegisterChosen& chosen = *message.mutable_register_chosen();
  chosen.set_key(key);
  *chosen.mutable_ballot() = value.ballot;
  chosen.set_value(value.value);
  for (const Address& member : commit_recipients(key, value)) {
    rpc_.call(member, message, kNotificationTimeout, [](const CallResult&) {});
  }
}

// The members and learners, including those that a new member record adds: a newcomer can copy the state and
// vote only once it knows the record.
std::set<Address> RegisterService::commit_recipients(const std::string& key,
                                                     const RegisterValue& value) const {
  std::set<Address> recipients;
  insert_addresses(group_.record(), recipients);
  if (key == kMembersRegisterKey) insert_addresses(parse_member_record(value.value), recipients);
  recipients.erase(address_);
  return recipients;
}

void RegisterService::handle(const wire::RegisterChosen& chosen, const ReplyCallback& reply) {
  acceptor_.learn(chosen.key(), RegisterValue{chosen.ballot(), chosen.value()});
  // A member record that another member pushes has no ballot, so the acceptor ignores it.
  wire::MemberRecord record;
  if (chosen.key() == kMembersRegisterKey && record.ParseFromString(chosen.value())) {
    on_member_record_(record);
  }
  wire::Envelope answer;
  answer.mutable_acknowledgement();
  reply(std::move(answer));
}

}  // namespace winchhall::cluster
