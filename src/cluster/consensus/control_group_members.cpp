// The part of ControlGroup that deals with this node's identity and with member records.
#include <algorithm>
#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/consensus/control_group.hpp"
#include "cluster/consensus/member_change.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kFetchTimeout{500};
constexpr Millis kPushPause{50};
const std::string kIdentityKey = "identity";
const std::string kRecordKey = "members";

}  // namespace

void ControlGroup::load() {
  store_.load([this](std::string_view key, std::string_view value) {
    const auto size = static_cast<int>(value.size());
    if (key == kIdentityKey) {
      identity_.ParseFromArray(value.data(), size);
    } else if (key == kRecordKey) {
      record_.ParseFromArray(value.data(), size);
    } else {
      acceptor_.load(key, value);
    }
  });
  adopting_epoch_ = record_.epoch();
  update_membership_status();
  acceptor_.shards().assume_leases();
}

std::uint64_t ControlGroup::next_unique_id() {
  // Also unlike that of other processes where their generators were seeded alike.
  const std::string circumstances = settings_.internal_address() + "/" +
                                    std::to_string(runtime_.wall_clock_ms()) + "/" +
                                    std::to_string(runtime_.now().time_since_epoch().count());
  const std::uint64_t number = runtime_.random() ^ stable_hash(circumstances);
  return number == 0 ? 1 : number;
}

wire::Member ControlGroup::self_member() const {
  wire::Member member;
  member.set_id(membership_status_.id);
  member.set_address(settings_.internal_address());
  member.set_zone(settings_.zone);
  member.set_http_address(settings_.control);
  return member;
}

void ControlGroup::initialize_identity() {
  wire::NodeIdentity identity;
  wire::MemberRecord record;
  if (is_founder(settings_)) {
    identity.set_id(founder_id(settings_.control));
    identity.set_synchronized(true);  // An empty group has nothing to copy.
    record = founding_record(settings_);
  } else {
    identity.set_id(next_unique_id());
  }
  StoreBatch batch{{kIdentityKey, identity.SerializeAsString()}};
  if (record.epoch() > 0) batch.push_back({kRecordKey, record.SerializeAsString()});
  commit_queue_.commit(std::move(batch), [this, identity, record] {
    adopting_epoch_ = record.epoch();
    adopted(record, identity);
    activate();
  });
}

void ControlGroup::adopt(const wire::MemberRecord& record) {
  if (record.epoch() <= adopting_epoch_ || record.members_size() == 0) return;
  adopting_epoch_ = record.epoch();
  wire::NodeIdentity identity = identity_;
  StoreBatch batch{{kRecordKey, record.SerializeAsString()}};
  const bool was_member = find_member(record_, identity.id()) != nullptr;
  const bool left_out = was_member && find_member(record, identity.id()) == nullptr;
  if (left_out || was_removed(record, identity.id())) {
    identity.set_id(next_unique_id());
    identity.set_synchronized(false);
    batch.push_back({kIdentityKey, identity.SerializeAsString()});
  }
  commit_queue_.commit(std::move(batch), [this, record, identity] {
    if (record.epoch() > record_.epoch()) adopted(record, identity);
  });
}

void ControlGroup::adopted(const wire::MemberRecord& record, const wire::NodeIdentity& identity) {
  record_ = record;
  failed_syncs_ = 0;
  if (identity.id() != identity_.id()) identity_ = identity;
  update_membership_status();
  log_event(LogLevel::info, "member_record_adopted",
            {{"epoch", static_cast<std::int64_t>(record.epoch())},
             {"members", static_cast<std::int64_t>(record.members_size())}});
  for (LeasedShard* shard : std::set(shards_)) {
    if (shards_.contains(shard)) shard->record_changed();
  }
  member_joiner_.record_adopted();
  if (active_) synchronize();
}

void ControlGroup::update_membership_status() {
  const bool voted = membership_status_.voting;
  membership_status_.id = identity_.id();
  membership_status_.member_epoch = record_.epoch();
  membership_status_.voting = identity_.synchronized() && find_member(record_, identity_.id()) != nullptr;
  peers_.watch(record_);
  if (membership_status_.voting && !voted) acceptor_.shards().assume_leases();
}

// ---------------------------------------------------------------- exchange of records

void ControlGroup::on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) {
  if (epoch > record_.epoch()) fetch_member_record(member.address());
  if (epoch < record_.epoch()) push_member_record(member);
}

void ControlGroup::fetch_member_record(const Address& address) {
  if (fetching_) return;
  fetching_ = true;
  wire::Envelope request;
  request.mutable_join_request();
  calls_.call(address, std::move(request), kFetchTimeout, [this](const CallResult& result) {
    fetching_ = false;
    if (result.answer && result.answer->has_join_reply()) adopt(result.answer->join_reply().record());
  });
}

void ControlGroup::push_member_record(const wire::Member& member) {
  const TimePoint now = runtime_.now();
  TimePoint& pushed_at = pushed_at_[member.id()];
  if (member.id() == membership_status_.id || now - pushed_at < kPushPause) return;
  pushed_at = now;
  wire::Envelope message;
  wire::RegisterChosen& chosen = *message.mutable_register_chosen();
  chosen.set_key(kMembersRegister);
  chosen.set_value(record_.SerializeAsString());
  calls_.call(member.address(), std::move(message), kFetchTimeout, [](const CallResult&) {});
}

std::vector<Address> ControlGroup::join_targets() const {
  std::vector<Address> targets;
  for (const wire::Member& member : record_.members()) targets.push_back(member.address());
  targets.insert(targets.end(), seeds_.begin(), seeds_.end());
  if (!has_quorum_contact()) targets.insert(targets.end(), sampled_.begin(), sampled_.end());
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  std::erase(targets, settings_.internal_address());
  return targets;
}

void ControlGroup::leave(Millis limit, std::function<void()> done) {
  leaving_ = true;
  excess_member_remover_.leave(limit, std::move(done));
}

void ControlGroup::request_to_join() {
  if (leaving_) return;
  const wire::Member self = self_member();
  const bool member = find_member(record_, self.id()) != nullptr;
  const bool predecessor =
      std::any_of(record_.members().begin(), record_.members().end(), [&](const wire::Member& other) {
        return other.address() == self.address() && other.id() != self.id();
      });
  const bool wants_to_join = settings_.counts_for_quorum && (!member || predecessor);
  if (joining_ || (!wants_to_join && has_quorum_contact())) return;
  const std::vector<Address> targets = join_targets();
  if (targets.empty()) return;
  joining_ = true;
  wire::Envelope request;
  wire::JoinRequest& join = *request.mutable_join_request();
  if (wants_to_join) *join.mutable_candidate() = self;
  const Address& target = targets[next_join_target_++ % targets.size()];
  calls_.call(target, std::move(request), kFetchTimeout, [this](const CallResult& result) {
    joining_ = false;
    if (result.answer && result.answer->has_join_reply()) adopt(result.answer->join_reply().record());
  });
}

// ---------------------------------------------------------------- copying the state

void ControlGroup::synchronize() {
  if (sync_ || identity_.synchronized() || !find_member(record_, identity_.id())) return;
  const std::uint64_t member_epoch = record_.epoch();
  GroupContext& group = *this;
  sync_ = std::make_shared<StateTransfer>(group,
                                          [this, member_epoch](const std::vector<TransferredState>& copies) {
                                            sync_.reset();
                                            synchronized(copies, member_epoch);
                                            if (copies.empty()) retry_state_transfer_later();
                                          });
  sync_->start();
}

// As a rule the others have not adopted the newcomer's record yet.
void ControlGroup::retry_state_transfer_later() {
  constexpr Millis::rep kFirstPauseMs = 20;
  constexpr unsigned kMostDoublings = 4;
  const Millis pause(kFirstPauseMs << std::min(failed_syncs_, kMostDoublings));
  ++failed_syncs_;
  sync_timer_ = runtime_.after(pause, [this] { synchronize(); });
}

void ControlGroup::synchronized(const std::vector<TransferredState>& copies, std::uint64_t member_epoch) {
  const bool same_record = record_.epoch() == member_epoch && adopting_epoch_ == member_epoch;
  if (copies.empty() || !same_record) return;  // Tried again with the next tick.
  wire::NodeIdentity identity = identity_;
  identity.set_synchronized(true);
  StoreBatch batch = acceptor_.merge(copies);
  batch.push_back({kIdentityKey, identity.SerializeAsString()});
  commit_queue_.commit(std::move(batch), [this, id = identity.id()] {
    if (identity_.id() != id) return;
    identity_.set_synchronized(true);
    update_membership_status();
    for (LeasedShard* shard : std::set(shards_)) {
      if (shards_.contains(shard)) shard->record_changed();
    }
  });
}

void ControlGroup::handle_state_pull(const wire::StatePull& pull, const ReplyCallback& reply) {
  wire::Envelope answer;
  wire::StatePage& page = *answer.mutable_state_page();
  page = acceptor_.state_page(pull.after_key());
  page.set_ok(membership_status_.voting);
  page.set_acceptor(membership_status_.id);
  *page.mutable_record() = record_;
  reply(std::move(answer));
}

}  // namespace winchhall::cluster
