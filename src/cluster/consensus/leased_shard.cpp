#include "cluster/consensus/leased_shard.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/lease_timing.hpp"
#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/replica_reader.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kCheckInterval{50};
constexpr Millis kRankDelay{80};
constexpr Millis kOtherLeaseDelay{160};  // a node that leads another shard lets others go first
constexpr Millis::rep kJitterMs = 50;

}  // namespace

LeasedShard::LeasedShard(GroupContext& group, std::string name, ShardCallbacks callbacks)
    : group_(group), name_(std::move(name)), callbacks_(std::move(callbacks)) {
  schedule_check(Millis(0));
}

LeasedShard::~LeasedShard() {
  if (term_) term_->lease->release();
}

bool LeasedShard::leads() const {
  return term_ && term_->phase == Phase::leading && term_->lease->holds() && group_.voting();
}

std::uint64_t LeasedShard::epoch() const { return term_ ? term_->lease->epoch() : 0; }

void LeasedShard::schedule_check(Millis delay) {
  check_timer_ = group_.runtime().after(delay, [this] { check(); });
}

void LeasedShard::check() {
  if (term_ || stepped_down_) return;
  if (!group_.voting() || !group_.has_quorum_contact() || !lease_is_free()) {
    request_at_.reset();
    return schedule_check(kCheckInterval);
  }
  const TimePoint now = group_.runtime().now();
  if (!request_at_) request_at_ = now + election_delay();
  if (now >= *request_at_) return ask();
  const Millis left = std::chrono::duration_cast<Millis>(*request_at_ - now) + Millis(1);
  schedule_check(std::min(left, kCheckInterval));
}

bool LeasedShard::lease_is_free() const {
  const std::optional<wire::ShardLeader> leader = group_.lease_in_force(name_);
  return !leader || leader->holder() == group_.self_id();
}

Millis LeasedShard::election_delay() const {
  // The former holder, back from a crash: all others wait for the end of its lease.
  if (group_.lease_in_force(name_)) return Millis(0);
  const auto order = [this](std::uint64_t member) {
    return stable_hash(name_ + "/" + std::to_string(member));
  };
  const std::uint64_t own = order(group_.self_id());
  Millis::rep rank = 0;
  for (const std::uint64_t member : group_.reachable_voters()) {
    if (order(member) < own) ++rank;
  }
  const auto held = static_cast<Millis::rep>(group_.own_lease_count());
  const auto jitter = static_cast<Millis::rep>(group_.runtime().random() % kJitterMs);
  return kRankDelay * rank + kOtherLeaseDelay * held + Millis(jitter);
}

void LeasedShard::ask() {
  request_at_.reset();
  auto term = std::make_shared<Term>();
  term->member_record_at_request = group_.record();
  const std::weak_ptr<Term> weak = term;
  const auto current = [this, weak] { return term_ && term_ == weak.lock(); };
  LeaseCallbacks callbacks;
  callbacks.on_granted = [this, current](std::uint64_t member, bool voting) {
    if (current()) on_lease_granted(member, voting);
  };
  callbacks.on_acquired = [this, current] {
    if (!current()) return;
    term_->phase = Phase::reading;
    recover_if_majority_read();
  };
  callbacks.on_lost = [this, current] {
    if (current()) lose();
  };
  const std::uint64_t epoch = std::max(seen_epoch_, group_.promised_epoch(name_)) + 1;
  term->lease = std::make_shared<LeaseRenewer>(group_, name_, epoch, std::move(callbacks));
  term_ = std::move(term);
  term_->lease->start();
}

ReplicaProgress& LeasedShard::follower(std::uint64_t member) {
  const bool from_the_start = term_->records.last_change() == 0;
  return term_->followers.try_emplace(member, from_the_start).first->second;
}

void LeasedShard::on_lease_granted(std::uint64_t member, bool voting) {
  ReplicaProgress& granting = follower(member);
  granting.voting = voting;
  granting.responsive = true;
  const bool read = term_->replicas.contains(member) || granting.content_known();
  if (voting && !read && !granting.reading) read_replica(member);
  replicate_to(member);
}

void LeasedShard::read_replica(std::uint64_t id) {
  const wire::Member* member = find_member(group_.record(), id);
  if (!member) return;
  follower(id).reading = true;
  const std::weak_ptr<Term> weak = term_;
  std::make_shared<ReplicaReader>(group_, name_, epoch(), *member,
                                  [this, weak, id](std::optional<ShardReplica> replica) {
                                    const std::shared_ptr<Term> term = weak.lock();
                                    if (term && term == term_) replica_read(id, std::move(replica));
                                  })
      ->start();
}

void LeasedShard::replica_read(std::uint64_t member, std::optional<ShardReplica> replica) {
  ReplicaProgress& source = follower(member);
  source.reading = false;
  if (!replica) return;  // Read again once the member renews the lease.
  if (term_->phase == Phase::asking || term_->phase == Phase::reading) {
    term_->replicas[member] = std::move(*replica);
    return recover_if_majority_read();
  }
  source.reconcile_with(replica->records, term_->records);
  replicate_to(member);
}

void LeasedShard::recover_if_majority_read() {
  if (term_->phase != Phase::reading) return;
  std::size_t complete = 0;
  for (const wire::Member& member : term_->member_record_at_request.members()) {
    if (term_->replicas.contains(member.id())) ++complete;
  }
  if (complete >= majority(term_->member_record_at_request)) take_over();
}

void LeasedShard::take_over() {
  const std::map<std::uint64_t, ShardReplica> replicas = std::exchange(term_->replicas, {});
  std::vector<const ShardReplica*> sources;
  sources.reserve(replicas.size());
  for (const auto& [member, replica] : replicas) sources.push_back(&replica);
  term_->records = LeaderRecordTable(epoch(), merge_replicas(sources).records);
  for (const auto& [member, replica] : replicas) {
    follower(member).reconcile_with(replica.records, term_->records);
  }
  term_->phase = Phase::establishing;
  replicate_to_all();
}

void LeasedShard::lead() {
  term_->phase = Phase::leading;
  std::vector<ShardEntry> entries;
  for (const auto& [key, held] : term_->records.all()) {
    if (!held.record.deleted()) entries.push_back({key, held.record.value()});
  }
  callbacks_.on_lead(epoch(), std::move(entries));
}

void LeasedShard::write(std::vector<ShardChange> changes, std::function<void(ShardWriteOutcome)> done) {
  if (!leads()) {
    group_.defer([done = std::move(done)] { done(ShardWriteOutcome::lost); });
    return;
  }
  for (const wire::Member& member : group_.record().members()) follower(member.id());
  for (const ShardChange& change : changes) {
    term_->records.put(change.key, change.value ? &*change.value : nullptr);
    for (auto& [member, replica] : term_->followers) replica.mark(change.key, term_->records.last_change());
  }
  term_->writes.push_back({term_->records.last_change(), std::move(done)});
  replicate_to_all();
  if (changes.empty()) {
    const std::weak_ptr<Term> weak = term_;
    group_.defer([this, weak] {
      if (!weak.expired() && weak.lock() == term_) check_progress();
    });
  }
}

void LeasedShard::replicate_to_all() {
  for (const wire::Member& member : group_.record().members()) replicate_to(member.id());
}

void LeasedShard::replicate_to(std::uint64_t id) {
  if (term_->phase != Phase::establishing && term_->phase != Phase::leading) return;
  const wire::Member* member = find_member(group_.record(), id);
  if (!member) return;
  ReplicaProgress& receiver = follower(id);
  while (receiver.responsive) {
    std::optional<ReplicationBatch> message = receiver.next_message(term_->records);
    if (!message) return;
    send(*member, std::move(*message));
  }
}

void LeasedShard::send(const wire::Member& member, ReplicationBatch message) {
  constexpr Millis kCallTimeout{600};
  wire::Envelope request;
  wire::ShardWrite& write = *request.mutable_shard_write();
  write.set_shard(name_);
  write.set_epoch(epoch());
  write.set_holder(group_.self_id());
  write.set_session(term_->lease->session());
  write.set_member_epoch(group_.record().epoch());
  write.set_establishes(message.establishes);
  for (const ReplicationBatch::Sent& sent : message.sent) {
    *write.add_records() = term_->records.find(sent.key)->record;
  }
  const std::weak_ptr<Term> weak = term_;
  group_.call(member, std::move(request), kCallTimeout,
              [this, weak, member, message = std::move(message)](const CallResult& result) {
                const std::shared_ptr<Term> term = weak.lock();
                if (term && term == term_) answered(member, message, result);
              });
}

void LeasedShard::answered(const wire::Member& member, const ReplicationBatch& message,
                           const CallResult& result) {
  ReplicaProgress& receiver = follower(member.id());
  if (!result.answer || !result.answer->has_shard_written()) {
    receiver.failed(message);
    receiver.responsive = false;  // until it renews the lease
    return;
  }
  const wire::ShardWritten& written = result.answer->shard_written();
  if (written.epoch() > epoch()) {
    seen_epoch_ = std::max(seen_epoch_, written.epoch());
    return lose();
  }
  if (!written.ok() || written.acceptor() != member.id()) {
    group_.on_member_epoch_observed(written.member_epoch(), member);
    receiver.failed(message);
    receiver.responsive = false;
    return retry_rejected_members();
  }
  receiver.confirmed(message, term_->records);
  receiver.voting = written.voting();
  receiver.responsive = true;
  const std::weak_ptr<Term> weak = term_;
  check_progress();
  if (!weak.expired() && weak.lock() == term_) replicate_to(member.id());
}

void LeasedShard::retry_rejected_members() {
  constexpr Millis kPause{30};
  if (term_->retry_timer) return;
  term_->retry_timer = group_.runtime().after(kPause, [this] {
    term_->retry_timer.reset();
    for (auto& [member, replica] : term_->followers) replica.responsive = true;
    replicate_to_all();
  });
}

void LeasedShard::check_progress() {
  if (term_->phase == Phase::establishing) {
    if (established_members() >= majority(group_.record()) && term_->lease->holds()) lead();
    return;
  }
  if (term_->phase == Phase::leading) complete_writes();
}

std::size_t LeasedShard::established_members() const {
  std::size_t established = 0;
  for (const wire::Member& member : group_.record().members()) {
    const auto found = term_->followers.find(member.id());
    if (found == term_->followers.end()) continue;
    if (found->second.established() && found->second.voting) ++established;
  }
  return established;
}

std::uint64_t LeasedShard::majority_durable_change() const {
  std::vector<std::uint64_t> held;
  for (const wire::Member& member : group_.record().members()) {
    const auto found = term_->followers.find(member.id());
    const bool counts = found != term_->followers.end() && found->second.voting;
    held.push_back(counts ? found->second.acknowledged_up_to(term_->records.last_change()) : 0);
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  return held[majority(group_.record()) - 1];
}

void LeasedShard::complete_writes() {
  const std::weak_ptr<Term> weak = term_;
  const std::uint64_t durable = majority_durable_change();
  while (!term_->writes.empty() && term_->writes.front().last_change <= durable) {
    const PendingWrite write = std::move(term_->writes.front());
    term_->writes.pop_front();
    write.done(ShardWriteOutcome::durable);
    if (weak.expired() || weak.lock() != term_) return;
  }
}

void LeasedShard::record_changed() {
  if (!term_) return;
  const bool before_take_over = term_->phase == Phase::asking || term_->phase == Phase::reading;
  if (!group_.voting() || before_take_over) return lose();
  std::erase_if(term_->followers,
                [this](const auto& entry) { return find_member(group_.record(), entry.first) == nullptr; });
  replicate_to_all();
  check_progress();
}

void LeasedShard::step_down() {
  stepped_down_ = true;
  if (term_) lose();
}

void LeasedShard::lose() {
  const std::shared_ptr<Term> term = std::exchange(term_, nullptr);
  seen_epoch_ = std::max(seen_epoch_, term->lease->highest_epoch());
  term->lease->release();
  term->retry_timer.reset();
  if (!stepped_down_) schedule_check(Millis(0));
  for (const PendingWrite& write : term->writes) write.done(ShardWriteOutcome::lost);
  if (term->phase == Phase::leading) callbacks_.on_lost();
}

}  // namespace winchhall::cluster
