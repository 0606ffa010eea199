#include "cluster/consensus/control_group.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/member_change.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kTick{250};
constexpr Millis kContactTimeout{1000};
constexpr Millis kSendTimeout{500};
constexpr Millis kRefreshTimeout{3000};
const std::string kConfigurationRegister = "configuration";

// A member that was silent for so long may be replaced. Its successor has to hold all state within the time
// to catch up after its own start, which is a second after the loss or so.
Millis member_replacement_delay(const NodeSettings& settings) { return settings.bounds.catch_up / 2; }

// Without a successor there is no hurry, and a member that is only cut off is not to lose its place: until it
// had copied the state anew, the loss of a disk could not be borne.
Millis excess_member_removal_delay(const NodeSettings& settings) { return settings.bounds.catch_up * 8; }

}  // namespace

// Tells the group of its end.
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
      seeds_(settings.seed_internal_addresses()),
      commit_queue_(runtime, store),
      acceptor_(runtime, commit_queue_, membership_status_,
                [this](const std::string& key, const RegisterValue& value) { register_chosen(key, value); }),
      calls_(runtime, [this](const wire::Envelope& request,
                             const ReplyCallback& reply) { return handle(request, reply); }),
      peers_(runtime),
      client_(*this, next_unique_id(),
              [this](const std::string& key, const RegisterValue& value, bool newly_chosen) {
                on_attempt_chosen(key, value, newly_chosen);
              }),
      member_joiner_(*this, client_, peers_, member_replacement_delay(settings),
                     [this](const wire::MemberRecord& record) { adopt(record); }),
      excess_member_remover_(*this, client_, peers_, excess_member_removal_delay(settings),
                             [this](const wire::MemberRecord& record) { adopt(record); }) {}

ControlGroup::~ControlGroup() { stop(); }

void ControlGroup::start() {
  load();
  if (identity_.id() == 0) {
    initialize_identity();
  } else {
    activate();
  }
}

void ControlGroup::stop() {
  active_ = false;
  tick_timer_.reset();
  sync_timer_.reset();
  if (sync_) sync_->cancel();
  sync_.reset();
}

void ControlGroup::activate() {
  active_ = true;
  for (const std::shared_ptr<Watch>& watch : std::vector(watches_)) {
    if (const std::optional<RegisterValue> value = acceptor_.registers().chosen(watch->key))
      tell(*watch, *value);
  }
  tick();
}

bool ControlGroup::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  switch (request.body_case()) {
    case wire::Envelope::kMemberPing: {
      if (!active_) return true;
      wire::Envelope answer;
      *answer.mutable_member_ping() = make_ping();
      reply(std::move(answer));
      on_ping_received(request.member_ping());
      ping_back(request.member_ping().from());
      return true;
    }
    case wire::Envelope::kJoinRequest:
      if (active_) member_joiner_.handle(request.join_request(), reply);
      return true;
    case wire::Envelope::kStatePull:
      if (active_) handle_state_pull(request.state_pull(), reply);
      return true;
    case wire::Envelope::kRegisterChosen:
      if (active_ && !commit_queue_.overloaded()) handle_chosen(request.register_chosen(), reply);
      return true;
    case wire::Envelope::kRegisterPrepare:
    case wire::Envelope::kRegisterAccept:
    case wire::Envelope::kLeaseRequest:
    case wire::Envelope::kShardRead:
    case wire::Envelope::kShardWrite:
      // Left unanswered where the disk lags far behind: memory would fill up with what can't be written.
      if (active_ && !commit_queue_.overloaded()) acceptor_.handle(request, reply);
      return true;
    default:
      return false;
  }
}

std::unique_ptr<ReplicatedShard> ControlGroup::open_shard(std::string name, ShardCallbacks callbacks) {
  return std::make_unique<OpenShard>(*this, std::move(name), std::move(callbacks));
}

// ---------------------------------------------------------------- leases and members heard

std::vector<wire::ShardLeader> ControlGroup::leaders() const {
  std::set<std::string> shards;
  for (const wire::ShardLeader& leader : acceptor_.shards().leases_in_force()) shards.insert(leader.shard());
  for (const wire::ShardLeader& leader : peers_.leaders()) shards.insert(leader.shard());
  std::vector<wire::ShardLeader> leaders;
  for (const std::string& shard : shards) {
    std::optional<wire::ShardLeader> leader = lease_in_force(shard);
    if (leader && leader->unconfirmed()) leader = peers_.leader(shard);
    if (leader && !leader->address().empty()) leaders.push_back(std::move(*leader));
  }
  return leaders;
}

std::optional<wire::ShardLeader> ControlGroup::lease_in_force(const std::string& shard) const {
  // What others report may be late: it counts only where it is newer than what this acceptor knows.
  const std::optional<wire::ShardLeader> reported = peers_.leader(shard);
  if (reported && reported->epoch() > promised_epoch(shard)) return reported;
  return acceptor_.shards().lease_in_force(shard);
}

std::size_t ControlGroup::own_lease_count() const {
  const std::vector<wire::ShardLeader> leases = acceptor_.shards().leases_in_force();
  return static_cast<std::size_t>(std::count_if(
      leases.begin(), leases.end(),
      [this](const wire::ShardLeader& lease) { return lease.holder() == membership_status_.id; }));
}

std::uint64_t ControlGroup::promised_epoch(const std::string& shard) const {
  return acceptor_.shards().promised_epoch(shard);
}

bool ControlGroup::has_quorum_contact() const {
  if (record_.epoch() == 0) return false;
  std::size_t heard = 0;
  for (const wire::Member& member : record_.members()) {
    if (member.id() == membership_status_.id || peers_.contacted_within(member.id(), kContactTimeout))
      ++heard;
  }
  return heard >= majority(record_);
}

std::vector<std::uint64_t> ControlGroup::reachable_voters() const {
  std::vector<std::uint64_t> heard;
  for (const wire::Member& member : record_.members()) {
    const bool self_votes = member.id() == membership_status_.id && membership_status_.voting;
    const bool other_votes =
        peers_.contacted_within(member.id(), kContactTimeout) && peers_.votes(member.id());
    if (self_votes || other_votes) heard.push_back(member.id());
  }
  return heard;
}

void ControlGroup::call(const wire::Member& member, wire::Envelope request, Millis timeout,
                        std::function<void(CallResult)> done) {
  if (member.id() == membership_status_.id) return calls_.call_local(request, std::move(done));
  calls_.call(member.address(), std::move(request), timeout, std::move(done));
}

// ---------------------------------------------------------------- pings

void ControlGroup::tick() {
  tick_timer_ = runtime_.after(kTick, [this] { tick(); });
  for (const wire::Member& member : record_.members()) {
    if (member.id() != membership_status_.id) ping(member);
  }
  request_to_join();
  excess_member_remover_.check();
  synchronize();
  refresh_registers();
}

wire::MemberPing ControlGroup::make_ping() const {
  wire::MemberPing ping;
  ping.set_from(membership_status_.id);
  ping.set_member_epoch(record_.epoch());
  ping.set_address(settings_.internal_address());
  ping.set_voting(membership_status_.voting);
  ping.set_reads_snapshots(true);
  if (const std::optional<RegisterValue> value = acceptor_.registers().chosen(kConfigurationRegister)) {
    *ping.mutable_configuration_ballot() = value->ballot;
  }
  for (wire::ShardLeader& leader : acceptor_.shards().leases_in_force())
    *ping.add_leaders() = std::move(leader);
  return ping;
}

void ControlGroup::ping(const wire::Member& member) {
  wire::Envelope request;
  *request.mutable_member_ping() = make_ping();
  const TimePoint sent_at = runtime_.now();
  calls_.call(member.address(), std::move(request), kSendTimeout,
              [this, member, sent_at](const CallResult& result) {
                if (!result.answer || !result.answer->has_member_ping() ||
                    result.answer->member_ping().from() != member.id()) {
                  return peers_.failed(member.id());
                }
                const wire::MemberPing& answer = result.answer->member_ping();
                peers_.answered(member.id(), sent_at, answer.voting());
                on_ping_received(answer);
              });
}

// A member that has just come up is heard without waiting for the next tick.
void ControlGroup::ping_back(std::uint64_t from) {
  const wire::Member* member = find_member(record_, from);
  if (member != nullptr && from != membership_status_.id && !peers_.contacted_within(from, kContactTimeout))
    ping(*member);
}

void ControlGroup::on_ping_received(const wire::MemberPing& ping) {
  if (ping.member_epoch() > record_.epoch() && !ping.address().empty()) fetch_member_record(ping.address());
  peers_.record_reported_leases(ping);
  if (ping.reads_snapshots()) peers_.set_reads_snapshots(ping.from());
  if (is_lower(newest_reported_configuration_, ping.configuration_ballot())) {
    newest_reported_configuration_ = ping.configuration_ballot();
  }
}

// ---------------------------------------------------------------- registers

void ControlGroup::watch_register(const std::string& key, RegisterWatch on_newer) {
  auto watch = std::make_shared<Watch>();
  watch->key = key;
  watch->on_newer = std::move(on_newer);
  watches_.push_back(watch);
  to_refresh_.insert(key);
  if (const std::optional<RegisterValue> value = acceptor_.registers().chosen(key)) tell(*watch, *value);
}

void ControlGroup::tell(Watch& watch, const RegisterValue& value) {
  if (watch.told == value.value) return;
  watch.told = value.value;
  watch.on_newer(value);
}

void ControlGroup::register_chosen(const std::string& key, const RegisterValue& value) {
  client_.note_chosen(key, value);
  if (key == kMembersRegister) {
    wire::MemberRecord record;
    if (record.ParseFromString(value.value)) adopt(record);
  }
  for (const std::shared_ptr<Watch>& watch : std::vector(watches_)) {
    if (watch->key == key) tell(*watch, value);
  }
}

void ControlGroup::on_attempt_chosen(const std::string& key, const RegisterValue& value, bool newly_chosen) {
  acceptor_.registers().learn(key, value);
  if (!newly_chosen) return;
  wire::Envelope message;
  wire::RegisterChosen& chosen = *message.mutable_register_chosen();
  chosen.set_key(key);
  *chosen.mutable_ballot() = value.ballot;
  chosen.set_value(value.value);
  for (const Address& member : commit_recipients(key, value)) {
    calls_.call(member, message, kSendTimeout, [](const CallResult&) {});
  }
}

// The members, and those whom a new member record takes in: a newcomer counts from now on, and can copy the
// state only once it knows.
std::set<Address> ControlGroup::commit_recipients(const std::string& key, const RegisterValue& value) const {
  std::set<Address> told;
  for (const wire::Member& member : record_.members()) told.insert(member.address());
  wire::MemberRecord next;
  if (key == kMembersRegister) next = parse_member_record(value.value);
  for (const wire::Member& member : next.members()) told.insert(member.address());
  told.erase(settings_.internal_address());
  return told;
}

void ControlGroup::handle_chosen(const wire::RegisterChosen& chosen, const ReplyCallback& reply) {
  acceptor_.registers().learn(chosen.key(), RegisterValue{chosen.ballot(), chosen.value()});
  wire::MemberRecord record;
  if (chosen.key() == kMembersRegister && record.ParseFromString(chosen.value())) adopt(record);
  wire::Envelope answer;
  answer.mutable_acknowledgement();
  reply(std::move(answer));
}

std::vector<std::string> ControlGroup::stored_shards() const {
  std::vector<std::string> shards;
  for (const auto& [shard, replica] : acceptor_.shards().replicas()) shards.push_back(shard);
  return shards;
}

std::optional<std::string> ControlGroup::locally_known_value(const std::string& key) const {
  std::optional<RegisterValue> value = acceptor_.registers().chosen(key);
  if (!value) return std::nullopt;
  return std::move(value->value);
}

void ControlGroup::drop_registers(const std::function<bool(const std::string& key)>& unneeded) {
  acceptor_.registers().drop(unneeded);
  client_.drop(unneeded);
}

bool ControlGroup::members_read_snapshots() const {
  const auto& members = record_.members();
  return std::all_of(members.begin(), members.end(), [&](const wire::Member& member) {
    return member.id() == membership_status_.id || peers_.reads_snapshots(member.id());
  });
}

void ControlGroup::refresh_registers() {
  const bool touch = has_quorum_contact();
  if (touch && !had_quorum_contact_) {
    for (const std::shared_ptr<Watch>& watch : watches_) to_refresh_.insert(watch->key);
  }
  had_quorum_contact_ = touch;
  const std::optional<RegisterValue> known = acceptor_.registers().chosen(kConfigurationRegister);
  const wire::Ballot known_ballot = known ? known->ballot : wire::Ballot();
  if (is_lower(known_ballot, newest_reported_configuration_)) to_refresh_.insert(kConfigurationRegister);
  refresh_unresolved_registers();
  if (!touch) return;
  for (const std::string& key : std::exchange(to_refresh_, {})) refresh(key);
}

// A value that stays undecided for a whole tick may have been acknowledged by a proposer that is gone before
// it told anybody that the value was chosen.
void ControlGroup::refresh_unresolved_registers() {
  for (const std::shared_ptr<Watch>& watch : watches_) {
    const wire::Ballot unresolved_ballot = acceptor_.registers().unresolved_ballot(watch->key);
    const bool stays = is_set(unresolved_ballot) && same_ballot(unresolved_ballot, watch->unresolved_ballot);
    if (stays) to_refresh_.insert(watch->key);
    watch->unresolved_ballot = unresolved_ballot;
  }
}

void ControlGroup::refresh(const std::string& key) {
  if (!refreshing_.insert(key).second) return;
  const auto leave_as_it_is = [](const std::string&) { return std::nullopt; };
  client_.update(key, leave_as_it_is, kRefreshTimeout,
                 [this, key](const std::optional<RegisterValue>& value) {
                   refreshing_.erase(key);
                   if (!value) to_refresh_.insert(key);
                 });
}

}  // namespace winchhall::cluster
