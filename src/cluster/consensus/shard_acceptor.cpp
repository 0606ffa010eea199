#include "cluster/consensus/shard_acceptor.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/lease_timing.hpp"

namespace winchhall::cluster {

namespace {

constexpr std::size_t kShardPageBytes = 128 << 10;
constexpr std::size_t kRecordOverheadBytes = 32;  // estimate for the fields beside key and value

wire::Envelope to_envelope(wire::LeaseReply answer) {
  wire::Envelope envelope;
  *envelope.mutable_lease_reply() = std::move(answer);
  return envelope;
}

wire::Envelope to_envelope(wire::ShardPage answer) {
  wire::Envelope envelope;
  *envelope.mutable_shard_page() = std::move(answer);
  return envelope;
}

wire::Envelope to_envelope(wire::ShardWritten answer) {
  wire::Envelope envelope;
  *envelope.mutable_shard_written() = std::move(answer);
  return envelope;
}

StoreWrite stored_state(const std::string& shard, const wire::ShardState& state) {
  return {shard_store_key(shard), state.SerializeAsString()};
}

StoreWrite stored_record(const std::string& shard, const wire::ShardRecord& record) {
  return {record_store_key(shard, record.key()), record.SerializeAsString()};
}

wire::ShardState promise_to(const wire::LeaseRequest& request) {
  wire::ShardState promise;
  promise.set_epoch(request.epoch());
  promise.set_holder(request.holder());
  promise.set_session(request.session());
  promise.set_holder_address(request.holder_address());
  return promise;
}

wire::ShardState promise_to(const wire::ShardWrite& request) {
  wire::ShardState promise;
  promise.set_epoch(request.epoch());
  promise.set_holder(request.holder());
  promise.set_session(request.session());
  return promise;
}

}  // namespace

std::string shard_store_key(const std::string& shard) { return "shard/" + shard; }

std::string record_store_key(const std::string& shard, const std::string& key) {
  std::string stored = "record/" + shard;
  stored.push_back('\0');
  return stored + key;
}

ShardAcceptor::ShardAcceptor(Runtime& runtime, CommitQueue& commit_queue, const MembershipStatus& status)
    : runtime_(runtime), commit_queue_(commit_queue), status_(status) {}

void ShardAcceptor::load_state(const std::string& shard, const wire::ShardState& state) {
  shards_[shard].replica.state = state;
  shards_[shard].durable_epoch = state.epoch();
}

void ShardAcceptor::load_record(const std::string& shard, const wire::ShardRecord& record) {
  put_record(shards_[shard], record);
}

void ShardAcceptor::put_record(Shard& shard, const wire::ShardRecord& record) {
  const auto [entry, added] = shard.replica.records.try_emplace(record.key());
  if (!added && !entry->second.deleted()) --shard.live_records;
  if (!record.deleted()) ++shard.live_records;
  entry->second = record;
}

void ShardAcceptor::assume_leases() {
  for (auto& [name, shard] : shards_) {
    const wire::ShardState& state = shard.replica.state;
    if (state.epoch() == 0) continue;
    const TimePoint expiry = runtime_.now() + kLeaseDuration;
    shard.lease = {state.epoch(), state.holder(), state.session(), state.holder_address(), expiry, false};
  }
}

bool ShardAcceptor::is_in_force(const Shard& shard) const { return runtime_.now() < shard.lease.expiry; }

void ShardAcceptor::lease(const wire::LeaseRequest& request, const ReplyCallback& reply) {
  wire::LeaseReply answer;
  answer.set_acceptor(status_.id);
  answer.set_member_epoch(status_.member_epoch);
  Shard& shard = shards_[request.shard()];
  if (request.release()) release(shard, request);
  answer.set_epoch(shard.replica.state.epoch());
  if (request.release() || request.member_epoch() != status_.member_epoch) {
    return reply(to_envelope(std::move(answer)));
  }
  answer.set_voting(status_.voting);
  if (may_grant(shard, request)) return grant(request, std::move(answer), reply);
  if (const std::optional<wire::ShardLeader> leader = unexpired_leader(request.shard(), shard)) {
    answer.set_holder(leader->holder());
    answer.set_holder_address(leader->address());
    answer.set_remaining_ms(leader->remaining_ms());
  }
  reply(to_envelope(std::move(answer)));
}

void ShardAcceptor::release(Shard& shard, const wire::LeaseRequest& request) {
  const Lease& lease = shard.lease;
  if (lease.epoch != request.epoch() || lease.holder != request.holder() ||
      lease.session != request.session()) {
    return;
  }
  shard.lease.expiry = TimePoint{};
}

bool ShardAcceptor::may_grant(const Shard& shard, const wire::LeaseRequest& request) const {
  const wire::ShardState& state = shard.replica.state;
  if (request.epoch() == 0 || request.epoch() < state.epoch()) return false;
  if (request.epoch() == state.epoch() && !same_promise(state, promise_to(request))) return false;
  return !is_in_force(shard) || shard.lease.holder == request.holder();
}

void ShardAcceptor::promise(const std::string& name, const wire::ShardState& to, StoreBatch& batch) {
  wire::ShardState& state = shards_[name].replica.state;
  copy_promise(to, state);
  batch.push_back(stored_state(name, state));
}

void ShardAcceptor::grant(const wire::LeaseRequest& request, wire::LeaseReply answer,
                          const ReplyCallback& reply) {
  const std::string& name = request.shard();
  const std::uint64_t epoch = request.epoch();
  Shard& shard = shards_[name];
  const wire::ShardState& state = shard.replica.state;
  const TimePoint expiry = runtime_.now() + kLeaseDuration;
  const bool confirmed = !request.asking();
  shard.lease = {epoch, request.holder(), request.session(), request.holder_address(), expiry, confirmed};
  answer.set_granted(true);
  answer.set_epoch(epoch);
  answer.set_holder(request.holder());
  const std::function<void()> send = [reply, answer = std::move(answer)] { reply(to_envelope(answer)); };
  StoreBatch batch;
  if (epoch > state.epoch()) {
    promise(name, promise_to(request), batch);
  } else if (shard.durable_epoch >= epoch) {
    return send();
  }
  commit_queue_.commit(std::move(batch), [this, name, epoch, send] {
    std::uint64_t& durable = shards_[name].durable_epoch;
    durable = std::max(durable, epoch);
    send();
  });
}

void ShardAcceptor::read(const wire::ShardRead& request, const ReplyCallback& reply) {
  wire::ShardPage page;
  page.set_acceptor(status_.id);
  page.set_voting(status_.voting);
  const ShardReplica& replica = shards_[request.shard()].replica;
  page.set_epoch(replica.state.epoch());
  page.set_base(replica.state.base());
  if (request.epoch() != replica.state.epoch()) return reply(to_envelope(std::move(page)));
  page.set_ok(true);
  page.set_last(true);
  std::size_t bytes = 0;
  for (auto entry = replica.records.upper_bound(request.after_key()); entry != replica.records.end();
       ++entry) {
    if (bytes >= kShardPageBytes) {
      page.set_last(false);
      break;
    }
    *page.add_records() = entry->second;
    bytes += entry->first.size() + entry->second.value().size() + kRecordOverheadBytes;
  }
  commit_queue_.barrier([reply, page = std::move(page)]() mutable { reply(to_envelope(std::move(page))); });
}

void ShardAcceptor::write(const wire::ShardWrite& request, const ReplyCallback& reply) {
  wire::ShardWritten answer;
  answer.set_acceptor(status_.id);
  answer.set_member_epoch(status_.member_epoch);
  const std::string& name = request.shard();
  const std::uint64_t promised = shards_[name].replica.state.epoch();
  answer.set_epoch(promised);
  if (request.member_epoch() != status_.member_epoch || request.epoch() < promised || request.epoch() == 0) {
    return reply(to_envelope(std::move(answer)));
  }
  answer.set_voting(status_.voting);
  answer.set_ok(true);
  answer.set_epoch(request.epoch());
  StoreBatch batch;
  // Only the session to which a majority promised this epoch writes under it, so its write replaces any other
  // promise of this acceptor.
  const wire::ShardState writer = promise_to(request);
  Lease& lease = shards_[name].lease;
  if (lease.epoch == request.epoch() && lease.session == request.session()) lease.confirmed = true;
  if (!same_promise(writer, shards_[name].replica.state)) promise(name, writer, batch);
  apply(request, batch);
  if (request.establishes()) establish(name, request.epoch(), batch);
  commit_queue_.commit(std::move(batch),
                       [this, name, epoch = request.epoch(), reply, answer = std::move(answer)]() mutable {
                         std::uint64_t& durable = shards_[name].durable_epoch;
                         durable = std::max(durable, epoch);
                         reply(to_envelope(std::move(answer)));
                       });
}

void ShardAcceptor::apply(const wire::ShardWrite& request, StoreBatch& batch) {
  Shard& shard = shards_[request.shard()];
  for (const wire::ShardRecord& record : request.records()) {
    const auto known = shard.replica.records.find(record.key());
    if (known != shard.replica.records.end() && !is_older(known->second, record)) continue;
    put_record(shard, record);
    batch.push_back(stored_record(request.shard(), record));
  }
}

void ShardAcceptor::establish(const std::string& name, std::uint64_t epoch, StoreBatch& batch) {
  ShardReplica& replica = shards_[name].replica;
  replica.state.set_base(std::max(replica.state.base(), epoch));
  batch.push_back(stored_state(name, replica.state));
  // Tombstones of earlier epochs are no longer needed: a merge with the new base ignores older versions.
  std::erase_if(replica.records, [&](const auto& entry) {
    const wire::ShardRecord& record = entry.second;
    if (!record.deleted() || record.epoch() >= epoch) return false;
    batch.push_back({record_store_key(name, record.key()), std::nullopt});
    return true;
  });
}

std::optional<wire::ShardLeader> ShardAcceptor::unexpired_leader(const std::string& name,
                                                                 const Shard& shard) const {
  if (!is_in_force(shard)) return std::nullopt;
  wire::ShardLeader leader;
  leader.set_shard(name);
  leader.set_epoch(shard.lease.epoch);
  leader.set_holder(shard.lease.holder);
  leader.set_address(shard.lease.address);
  const auto remaining = std::chrono::duration_cast<Millis>(shard.lease.expiry - runtime_.now()).count();
  leader.set_remaining_ms(static_cast<std::uint32_t>(remaining + 1));
  leader.set_unconfirmed(!shard.lease.confirmed);
  return leader;
}

std::optional<wire::ShardLeader> ShardAcceptor::lease_in_force(const std::string& shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? std::nullopt : unexpired_leader(shard, found->second);
}

std::vector<wire::ShardLeader> ShardAcceptor::leases_in_force() const {
  std::vector<wire::ShardLeader> leaders;
  for (const auto& [name, shard] : shards_) {
    if (std::optional<wire::ShardLeader> leader = unexpired_leader(name, shard))
      leaders.push_back(std::move(*leader));
  }
  return leaders;
}

std::uint64_t ShardAcceptor::promised_epoch(const std::string& shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? 0 : found->second.replica.state.epoch();
}

std::vector<std::string> ShardAcceptor::shards_with_records() const {
  std::vector<std::string> names;
  for (const auto& [name, shard] : shards_) {
    if (shard.live_records > 0) names.push_back(name);
  }
  return names;
}

std::map<std::string, const ShardReplica*> ShardAcceptor::replicas() const {
  std::map<std::string, const ShardReplica*> replicas;
  for (const auto& [name, shard] : shards_) replicas[name] = &shard.replica;
  return replicas;
}

void ShardAcceptor::replace(const std::string& name, ShardReplica replica, StoreBatch& batch) {
  Shard& shard = shards_[name];
  ShardReplica& current = shard.replica;
  for (const auto& [key, record] : current.records) {
    if (!replica.records.contains(key)) batch.push_back({record_store_key(name, key), std::nullopt});
  }
  for (const auto& [key, record] : replica.records) {
    const auto own = current.records.find(key);
    const bool is_stored = own != current.records.end() && is_same_version(own->second, record);
    if (!is_stored) batch.push_back(stored_record(name, record));
  }
  batch.push_back(stored_state(name, replica.state));
  current = std::move(replica);
  const auto is_live = [](const auto& entry) { return !entry.second.deleted(); };
  shard.live_records =
      static_cast<std::size_t>(std::count_if(current.records.begin(), current.records.end(), is_live));
}

}  // namespace winchhall::cluster
