#include "cluster/consensus/shard_leadership.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/member_record.hpp"
#include "cluster/consensus/replica_reader.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kReplicationTimeout{600};
constexpr Millis kRejectionRetryBackoff{30};

}  // namespace

ShardLeadership::ShardLeadership(GroupContext& group, std::string shard, std::uint64_t epoch,
                                 LeadershipCallbacks callbacks)
    : group_(group),
      shard_(std::move(shard)),
      callbacks_(std::move(callbacks)),
      record_at_request_(group.record()),
      lease_(std::make_shared<LeaseRenewer>(group, shard_, epoch, lease_callbacks())) {}

LeaseCallbacks ShardLeadership::lease_callbacks() {
  LeaseCallbacks callbacks;
  callbacks.on_granted = [this](std::uint64_t member, bool voting) {
    if (!ended_) on_lease_granted(member, voting);
  };
  callbacks.on_acquired = [this] {
    if (ended_) return;
    phase_ = Phase::recovering;
    recover_if_majority_read();
  };
  callbacks.on_lost = [this] { end_as_lost(); };
  return callbacks;
}

void ShardLeadership::start() { lease_->start(); }

void ShardLeadership::release() {
  ended_ = true;
  lease_->release();
  retry_timer_.reset();
}

void ShardLeadership::fail_writes() {
  for (const PendingWrite& write : std::exchange(writes_, {})) write.done(ShardWriteOutcome::lost);
}

void ShardLeadership::end_as_lost() {
  if (ended_) return;
  const std::shared_ptr<ShardLeadership> self = shared_from_this();  // the owner releases this object
  callbacks_.on_lost();
}

void ShardLeadership::abandon() {
  if (phase_ != Phase::leading || abandoned_) return;
  abandoned_ = true;
  group_.defer([weak = weak_from_this()] {
    if (const std::shared_ptr<ShardLeadership> self = weak.lock()) self->end_as_lost();
  });
}

bool ShardLeadership::leads() const {
  return !ended_ && !abandoned_ && phase_ == Phase::leading && lease_->is_held() && group_.voting();
}

std::uint64_t ShardLeadership::highest_epoch() const {
  return std::max(highest_rejecting_epoch_, lease_->highest_epoch());
}

ReplicaProgress& ShardLeadership::progress_of(std::uint64_t member) {
  const bool tracked_from_start = records_.last_change() == 0;
  return progress_.try_emplace(member, tracked_from_start).first->second;
}

void ShardLeadership::on_lease_granted(std::uint64_t member, bool voting) {
  ReplicaProgress& progress = progress_of(member);
  progress.voting = voting;
  progress.responsive = true;
  const bool was_read = read_replicas_.contains(member) || progress.content_known();
  if (voting && !was_read && !progress.reading) read_replica(member);
  replicate_to(member);
}

// ---------------------------------------------------------------- recovery

void ShardLeadership::read_replica(std::uint64_t id) {
  const wire::Member* member = find_member(group_.record(), id);
  if (!member) return;
  progress_of(id).reading = true;
  auto on_read = [weak = weak_from_this(), id](std::optional<ShardReplica> replica) {
    const std::shared_ptr<ShardLeadership> self = weak.lock();
    if (self && !self->ended_) self->on_replica_read(id, std::move(replica));
  };
  std::make_shared<ReplicaReader>(group_, shard_, epoch(), *member, std::move(on_read))->start();
}

void ShardLeadership::on_replica_read(std::uint64_t member, std::optional<ShardReplica> replica) {
  ReplicaProgress& progress = progress_of(member);
  progress.reading = false;
  if (!replica) return;  // Read again once the member renews the lease.
  if (!is_recovered()) {
    read_replicas_[member] = std::move(*replica);
    return recover_if_majority_read();
  }
  progress.reconcile_with(replica->records, records_);
  replicate_to(member);
}

void ShardLeadership::recover_if_majority_read() {
  if (phase_ != Phase::recovering) return;
  const auto& members = record_at_request_.members();
  const auto read = std::count_if(members.begin(), members.end(), [this](const wire::Member& member) {
    return read_replicas_.contains(member.id());
  });
  if (static_cast<std::size_t>(read) >= majority(record_at_request_)) recover();
}

void ShardLeadership::recover() {
  const std::map<std::uint64_t, ShardReplica> replicas = std::exchange(read_replicas_, {});
  std::vector<const ShardReplica*> sources;
  sources.reserve(replicas.size());
  for (const auto& [member, replica] : replicas) sources.push_back(&replica);
  records_ = LeaderRecordTable(epoch(), merge_replicas(sources).records);
  for (const auto& [member, replica] : replicas) {
    progress_of(member).reconcile_with(replica.records, records_);
  }
  phase_ = Phase::establishing;
  replicate_to_all();
}

void ShardLeadership::begin_leading() {
  phase_ = Phase::leading;
  std::vector<ShardEntry> entries;
  for (const auto& [key, versioned] : records_.all()) {
    if (!versioned.record.deleted()) entries.push_back({key, versioned.record.value()});
  }
  callbacks_.on_lead(std::move(entries));
}

// ---------------------------------------------------------------- replication

void ShardLeadership::write(const std::vector<ShardChange>& changes,
                            std::function<void(ShardWriteOutcome)> done) {
  for (const wire::Member& member : group_.record().members()) progress_of(member.id());
  for (const wire::Member& learner : group_.record().learners()) progress_of(learner.id());
  for (const ShardChange& change : changes) {
    records_.put(change.key, change.value ? &*change.value : nullptr);
    for (auto& [member, progress] : progress_) progress.mark_missing(change.key, records_.last_change());
  }
  writes_.push_back({records_.last_change(), std::move(done)});
  replicate_to_all();
  if (!changes.empty()) return;
  // A write without changes sends no message of its own, so no answer may arrive that completes it.
  group_.defer([weak = weak_from_this()] {
    const std::shared_ptr<ShardLeadership> self = weak.lock();
    if (self && !self->ended_) self->check_progress();
  });
}

void ShardLeadership::replicate_to_all() {
  for (const wire::Member& member : group_.record().members()) replicate_to(member.id());
  for (const wire::Member& learner : group_.record().learners()) replicate_to(learner.id());
}

void ShardLeadership::replicate_to(std::uint64_t id) {
  if (!is_recovered()) return;
  const wire::Member* member = find_member_or_learner(group_.record(), id);
  if (!member) return;
  ReplicaProgress& progress = progress_of(id);
  while (progress.responsive) {
    std::optional<ReplicationBatch> batch = progress.next_batch(records_);
    if (!batch) return;
    send(*member, std::move(*batch));
  }
}

void ShardLeadership::send(const wire::Member& member, ReplicationBatch batch) {
  wire::Envelope request;
  wire::ShardWrite& write = *request.mutable_shard_write();
  write.set_shard(shard_);
  write.set_epoch(epoch());
  write.set_holder(group_.self_id());
  write.set_session(lease_->session());
  write.set_member_epoch(group_.record().epoch());
  write.set_establishes(batch.establishes);
  for (const ReplicationBatch::Entry& entry : batch.entries) {
    *write.add_records() = records_.find(entry.key)->record;
  }
  group_.call(member, std::move(request), kReplicationTimeout,
              [weak = weak_from_this(), member, batch = std::move(batch)](const CallResult& result) {
                const std::shared_ptr<ShardLeadership> self = weak.lock();
                if (self && !self->ended_) self->on_batch_answered(member, batch, result);
              });
}

void ShardLeadership::on_batch_answered(const wire::Member& member, const ReplicationBatch& batch,
                                        const CallResult& result) {
  ReplicaProgress& progress = progress_of(member.id());
  if (!result.answer || !result.answer->has_shard_written()) {
    progress.on_failed(batch);
    progress.responsive = false;  // until it renews the lease
    return;
  }
  const wire::ShardWritten& written = result.answer->shard_written();
  if (written.epoch() > epoch()) {
    highest_rejecting_epoch_ = std::max(highest_rejecting_epoch_, written.epoch());
    return end_as_lost();
  }
  if (!written.ok() || written.acceptor() != member.id()) {
    group_.on_member_epoch_observed(written.member_epoch(), member);
    progress.on_failed(batch);
    progress.responsive = false;
    return retry_rejected_members();
  }
  progress.on_acknowledged(batch, records_);
  progress.voting = written.voting();
  progress.responsive = true;
  check_progress();
  if (!ended_) replicate_to(member.id());
}

// A member rejects writes while its member epoch differs from this node's, which usually ends soon.
void ShardLeadership::retry_rejected_members() {
  if (retry_timer_) return;
  retry_timer_ = group_.runtime().after(kRejectionRetryBackoff, [this] {
    retry_timer_.reset();
    for (auto& [member, progress] : progress_) progress.responsive = true;
    replicate_to_all();
  });
}

void ShardLeadership::check_progress() {
  if (phase_ == Phase::establishing) {
    if (established_members() >= majority(group_.record()) && lease_->is_held()) begin_leading();
  } else if (phase_ == Phase::leading) {
    complete_writes();
  }
}

std::size_t ShardLeadership::established_members() const {
  const auto& members = group_.record().members();
  const auto established = std::count_if(members.begin(), members.end(), [this](const wire::Member& member) {
    const auto found = progress_.find(member.id());
    return found != progress_.end() && found->second.established() && found->second.voting;
  });
  return static_cast<std::size_t>(established);
}

// The highest change up to which a majority of the members, all voting, holds every change.
std::uint64_t ShardLeadership::majority_durable_change() const {
  std::vector<std::uint64_t> acknowledged;
  for (const wire::Member& member : group_.record().members()) {
    const auto found = progress_.find(member.id());
    const bool counts = found != progress_.end() && found->second.voting;
    acknowledged.push_back(counts ? found->second.acknowledged_up_to(records_.last_change()) : 0);
  }
  std::sort(acknowledged.begin(), acknowledged.end(), std::greater<>());
  return acknowledged[majority(group_.record()) - 1];
}

void ShardLeadership::complete_writes() {
  const std::uint64_t durable = majority_durable_change();
  while (!writes_.empty() && writes_.front().last_change <= durable) {
    const PendingWrite write = std::move(writes_.front());
    writes_.pop_front();
    write.done(ShardWriteOutcome::durable);
    if (ended_) return;
  }
}

void ShardLeadership::on_membership_changed() {
  if (!group_.voting() || !is_recovered()) return end_as_lost();
  std::erase_if(progress_, [this](const auto& entry) {
    return find_member_or_learner(group_.record(), entry.first) == nullptr;
  });
  replicate_to_all();
  check_progress();
}

}  // namespace winchhall::cluster
