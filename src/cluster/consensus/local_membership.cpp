#include "cluster/consensus/local_membership.hpp"

#include <string>
#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/consensus/founding_record.hpp"
#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/unique_id.hpp"

namespace winchhall::cluster {

namespace {

const std::string kIdentityStoreKey = "identity";
const std::string kRecordStoreKey = "members";

// True if the record promotes this node from a learner and its disk holds the copy of the state that the
// promotion requires.
bool is_promoted_with_copy(const wire::MemberRecord& record, const wire::NodeIdentity& identity) {
  const wire::Member* self = find_member(record, identity.id());
  return self != nullptr && self->copied_epoch() != 0 && identity.copied_epoch() >= self->copied_epoch();
}

}  // namespace

LocalMembership::LocalMembership(Runtime& runtime, CommitQueue& commit_queue, PeerTable& peers,
                                 const NodeSettings& settings, MembershipCallbacks callbacks)
    : runtime_(runtime),
      commit_queue_(commit_queue),
      peers_(peers),
      settings_(settings),
      callbacks_(std::move(callbacks)) {}

bool LocalMembership::load(std::string_view key, std::string_view value) {
  const auto size = static_cast<int>(value.size());
  if (key == kIdentityStoreKey) {
    identity_.ParseFromArray(value.data(), size);
  } else if (key == kRecordStoreKey) {
    record_.ParseFromArray(value.data(), size);
  } else {
    return false;
  }
  return true;
}

void LocalMembership::finish_load() {
  adopting_epoch_ = record_.epoch();
  update_status();
}

void LocalMembership::initialize_identity(std::function<void()> on_durable) {
  wire::NodeIdentity identity;
  wire::MemberRecord record;
  if (is_founder(settings_)) {
    identity.set_id(founder_id(settings_.control));
    identity.set_synchronized(true);  // An empty group has no state to copy.
    record = founding_record(settings_);
  } else {
    identity.set_id(generate_unique_id(runtime_, settings_.internal_address()));
  }
  StoreBatch batch{{kIdentityStoreKey, identity.SerializeAsString()}};
  if (record.epoch() > 0) batch.push_back({kRecordStoreKey, record.SerializeAsString()});
  commit_queue_.commit(std::move(batch), [this, identity, record, on_durable = std::move(on_durable)] {
    adopting_epoch_ = record.epoch();
    use_record(record, identity);
    on_durable();
  });
}

void LocalMembership::adopt(const wire::MemberRecord& record) {
  if (record.epoch() <= adopting_epoch_ || record.members_size() == 0) return;
  adopting_epoch_ = record.epoch();
  wire::NodeIdentity identity = identity_;
  StoreBatch batch{{kRecordStoreKey, record.SerializeAsString()}};
  const bool left_out = is_member() && find_member(record, identity.id()) == nullptr;
  if (left_out || was_removed(record, identity.id())) {
    identity.Clear();
    identity.set_id(generate_unique_id(runtime_, settings_.internal_address()));
    batch.push_back({kIdentityStoreKey, identity.SerializeAsString()});
  } else if (is_promoted_with_copy(record, identity)) {
    identity.set_synchronized(true);
    batch.push_back({kIdentityStoreKey, identity.SerializeAsString()});
  }
  commit_queue_.commit(std::move(batch), [this, record, identity] {
    if (record.epoch() > record_.epoch()) use_record(record, identity);
  });
}

void LocalMembership::use_record(const wire::MemberRecord& record, const wire::NodeIdentity& identity) {
  record_ = record;
  // A state transfer may have become durable since the write began: keeps its changes unless the id is new.
  if (identity.id() != identity_.id()) identity_ = identity;
  if (identity.synchronized()) identity_.set_synchronized(true);
  update_status();
  log_event(LogLevel::info, "member_record_adopted",
            {{"epoch", static_cast<std::int64_t>(record.epoch())},
             {"members", static_cast<std::int64_t>(record.members_size())}});
  callbacks_.on_record_adopted();
}

bool LocalMembership::is_newest_epoch(std::uint64_t epoch) const {
  return record_.epoch() == epoch && adopting_epoch_ == epoch;
}

void LocalMembership::commit_synchronized(StoreBatch transferred_state, std::uint64_t member_epoch) {
  wire::NodeIdentity identity = identity_;
  identity.set_synchronized(identity.synchronized() || is_member());
  identity.set_copied_epoch(member_epoch);
  StoreBatch batch = std::move(transferred_state);
  batch.push_back({kIdentityStoreKey, identity.SerializeAsString()});
  commit_queue_.commit(std::move(batch), [this, identity] {
    if (identity_.id() != identity.id()) return;  // this node was removed in the meantime
    identity_.set_synchronized(identity_.synchronized() || identity.synchronized());
    identity_.set_copied_epoch(identity.copied_epoch());
    update_status();
    callbacks_.on_synchronized();
  });
}

bool LocalMembership::needs_state_transfer() const {
  const std::uint64_t id = identity_.id();
  if (const wire::Member* self = find_member(record_, id)) {
    const bool must_confirm = is_unconfirmed(record_, id) && copied_epoch() <= self->copied_epoch();
    return !identity_.synchronized() || must_confirm;
  }
  return find_learner(record_, id) != nullptr && copied_epoch() != record_.epoch();
}

bool LocalMembership::is_member() const { return find_member(record_, identity_.id()) != nullptr; }

wire::Member LocalMembership::self() const {
  wire::Member member;
  member.set_id(status_.id);
  member.set_address(settings_.internal_address());
  member.set_zone(settings_.zone);
  member.set_http_address(settings_.control);
  return member;
}

void LocalMembership::update_status() {
  const bool was_voting = status_.voting;
  status_.id = identity_.id();
  status_.member_epoch = record_.epoch();
  status_.voting = identity_.synchronized() && is_member();
  peers_.track_members(record_);
  if (status_.voting && !was_voting) callbacks_.on_voting_started();
}

}  // namespace winchhall::cluster
