#include "cluster/consensus/control_group.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/unique_id.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kPeriodicWorkInterval{250};  // also the interval between pings

// A member that has been unreachable for this long may be replaced. Its successor has to hold all state
// within the time to catch up after its own start, which is about a second after the loss.
Millis member_replacement_delay(const NodeSettings& settings) { return settings.bounds.catch_up / 2; }

// Without a successor the removal is not urgent, and a member that is only partitioned should not be removed:
// until it had copied the state again, the group could not tolerate the loss of a disk.
Millis excess_member_removal_delay(const NodeSettings& settings) { return settings.bounds.catch_up * 8; }

}  // namespace

class ControlGroup::OpenShard : public LeasedShard {
 public:
  OpenShard(ControlGroup& group, std::string name, ShardCallbacks callbacks)
      : LeasedShard(group, std::move(name), std::move(callbacks)), group_(group) {
    group_.shards_.insert(this);
  }
  ~OpenShard() override { group_.shards_.erase(this); }

 private:
  ControlGroup& group_;
};

ControlGroup::ControlGroup(Runtime& runtime, DurableStore& store, const NodeSettings& settings)
    : runtime_(runtime),
      store_(store),
      settings_(settings),
      commit_queue_(runtime, store),
      peers_(runtime),
      membership_(runtime, commit_queue_, peers_, settings_, membership_callbacks()),
      acceptor_(runtime, commit_queue_, membership_.status(),
                [this](const std::string& key, const RegisterValue& value) {
                  registers_.on_value_learned(key, value);
                }),
      leases_(acceptor_.shards(), peers_),
      rpc_(runtime, [this](const wire::Envelope& request,
                           const ReplyCallback& reply) { return handle(request, reply); }),
      registers_(*this, rpc_, acceptor_.registers(), next_unique_id(), settings_.internal_address(),
                 [this](const wire::MemberRecord& record) { membership_.adopt(record); }),
      pinger_(
          *this, acceptor_, peers_, settings_.internal_address(),
          [this] { return membership_.copied_epoch(); }, ping_callbacks()),
      record_exchange_(*this, rpc_, membership_, settings_,
                       [this](const wire::MemberRecord& record) { membership_.adopt(record); }),
      state_transfer_(*this, acceptor_, membership_),
      joiner_(*this, registers_.client(), peers_, member_replacement_delay(settings_),
              [this](const wire::MemberRecord& record) { membership_.adopt(record); }),
      excess_member_remover_(*this, registers_.client(), peers_, excess_member_removal_delay(settings_),
                             [this](const wire::MemberRecord& record) { membership_.adopt(record); }) {}

ControlGroup::~ControlGroup() { stop(); }

MembershipCallbacks ControlGroup::membership_callbacks() {
  MembershipCallbacks callbacks;
  callbacks.on_voting_started = [this] { acceptor_.shards().assume_leases(); };
  callbacks.on_record_adopted = [this] { on_record_adopted(); };
  callbacks.on_synchronized = [this] {
    announce_added_shards();
    notify_shards_of_membership();
    record_exchange_.request_to_join();  // a learner is promoted, an unconfirmed member is confirmed
  };
  return callbacks;
}

PingCallbacks ControlGroup::ping_callbacks() {
  PingCallbacks callbacks;
  callbacks.on_newer_member_record = [this](const Address& sender) { record_exchange_.fetch(sender); };
  callbacks.on_configuration_ballot = [this](const wire::Ballot& ballot) {
    registers_.watcher().on_configuration_ballot(ballot);
  };
  return callbacks;
}

// ---------------------------------------------------------------- start, periodic work, stop

void ControlGroup::start() {
  load();
  if (membership_.has_identity()) {
    activate();
  } else {
    membership_.initialize_identity([this] { activate(); });
  }
  announce_added_shards();
}

void ControlGroup::load() {
  store_.load([this](std::string_view key, std::string_view value) {
    if (!membership_.load(key, value)) acceptor_.load(key, value);
  });
  membership_.finish_load();
  acceptor_.shards().assume_leases();
}

void ControlGroup::activate() {
  active_ = true;
  registers_.watcher().notify_all();
  run_periodic_work();
}

void ControlGroup::run_periodic_work() {
  periodic_timer_ = runtime_.after(kPeriodicWorkInterval, [this] { run_periodic_work(); });
  pinger_.ping_members();
  record_exchange_.request_to_join();
  excess_member_remover_.remove_unreachable_member();
  state_transfer_.start_if_needed();
  announce_added_shards();
  registers_.watcher().refresh(has_quorum_contact());
}

void ControlGroup::leave(Millis limit, std::function<void()> done) {
  record_exchange_.stop_joining();
  excess_member_remover_.leave(limit, std::move(done));
}

void ControlGroup::stop() {
  active_ = false;
  periodic_timer_.reset();
  state_transfer_.stop();
}

void ControlGroup::on_record_adopted() {
  state_transfer_.on_record_adopted();
  notify_shards_of_membership();
  joiner_.on_record_adopted();
  if (active_) state_transfer_.start_if_needed();
}

void ControlGroup::notify_shards_of_membership() {
  // Iterates over a copy because a shard's callbacks may close shards.
  for (LeasedShard* shard : std::set(shards_)) {
    if (shards_.contains(shard)) shard->on_membership_changed();
  }
}

// ---------------------------------------------------------------- requests

bool ControlGroup::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  switch (request.body_case()) {
    case wire::Envelope::kMemberPing:
      if (active_) pinger_.handle(request.member_ping(), reply);
      return true;
    case wire::Envelope::kJoinRequest:
      if (active_) joiner_.handle(request.join_request(), reply);
      return true;
    case wire::Envelope::kStatePull:
      if (active_) state_transfer_.handle(request.state_pull(), reply);
      return true;
    case wire::Envelope::kRegisterChosen:
      if (active_ && !commit_queue_.overloaded()) registers_.handle(request.register_chosen(), reply);
      return true;
    case wire::Envelope::kRegisterPrepare:
    case wire::Envelope::kRegisterAccept:
    case wire::Envelope::kLeaseRequest:
    case wire::Envelope::kShardRead:
    case wire::Envelope::kShardWrite:
      // Not answered while the disk lags far behind: pending writes would exhaust the memory.
      if (active_ && !commit_queue_.overloaded()) acceptor_.handle(request, reply);
      return true;
    default:
      return false;
  }
}

std::unique_ptr<ReplicatedShard> ControlGroup::open_shard(std::string name, ShardCallbacks callbacks) {
  return std::make_unique<OpenShard>(*this, std::move(name), std::move(callbacks));
}

// ---------------------------------------------------------------- registers

void ControlGroup::watch_register(const std::string& key, RegisterWatcher::Listener on_newer) {
  registers_.watcher().watch(key, std::move(on_newer));
}

std::optional<std::string> ControlGroup::locally_known_value(const std::string& key) const {
  std::optional<RegisterValue> value = acceptor_.registers().chosen(key);
  if (!value) return std::nullopt;
  return std::move(value->value);
}

void ControlGroup::drop_registers(const std::function<bool(const std::string& key)>& unneeded) {
  registers_.drop(unneeded);
}

bool ControlGroup::members_read_snapshots() const {
  const auto& members = record().members();
  return std::all_of(members.begin(), members.end(), [this](const wire::Member& member) {
    return member.id() == self_id() || peers_.reads_snapshots(member.id());
  });
}

// ---------------------------------------------------------------- shards

void ControlGroup::announce_added_shards() {
  if (!on_shard_added_) return;
  std::vector<std::string> added;  // the listener may open shards
  for (const auto& [shard, replica] : acceptor_.shards().replicas())
    if (announced_shards_.insert(shard).second) added.push_back(shard);
  for (const std::string& shard : added) on_shard_added_(shard);
}

void ControlGroup::list_shards(ShardListReader::Done done) {
  GroupContext& group = *this;
  std::make_shared<ShardListReader>(group, std::move(done))->start();
}

std::optional<wire::ShardLeader> ControlGroup::lease_in_force(const std::string& shard) const {
  return leases_.lease_in_force(shard);
}

std::uint64_t ControlGroup::promised_epoch(const std::string& shard) const {
  return acceptor_.shards().promised_epoch(shard);
}

// ---------------------------------------------------------------- members

bool ControlGroup::has_quorum_contact() const {
  if (record().epoch() == 0) return false;
  const auto& members = record().members();
  const auto reachable = std::count_if(members.begin(), members.end(), [this](const wire::Member& member) {
    return member.id() == self_id() || peers_.contacted_within(member.id(), kContactTimeout);
  });
  return static_cast<std::size_t>(reachable) >= majority(record());
}

std::vector<std::uint64_t> ControlGroup::reachable_voters() const {
  std::vector<std::uint64_t> voters;
  for (const wire::Member& member : record().members()) {
    const bool is_voting_self = member.id() == self_id() && voting();
    const bool is_voting_peer =
        peers_.contacted_within(member.id(), kContactTimeout) && peers_.votes(member.id());
    if (is_voting_self || is_voting_peer) voters.push_back(member.id());
  }
  return voters;
}

void ControlGroup::call(const wire::Member& member, wire::Envelope request, Millis timeout,
                        std::function<void(CallResult)> done) {
  if (member.id() == self_id()) return rpc_.call_local(request, std::move(done));
  rpc_.call(member.address(), std::move(request), timeout, std::move(done));
}

std::uint64_t ControlGroup::next_unique_id() {
  return generate_unique_id(runtime_, settings_.internal_address());
}

void ControlGroup::on_member_epoch_observed(std::uint64_t epoch, const wire::Member& member) {
  record_exchange_.on_member_epoch_observed(epoch, member);
}

}  // namespace winchhall::cluster
