// The acceptor of the shards: promised epochs, leases in force, replicas of the records.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/commit_queue.hpp"
#include "cluster/consensus/membership_status.hpp"
#include "cluster/consensus/shard_replica.hpp"

namespace winchhall::cluster {

// Invariants, for each shard:
//   - The promised epoch never decreases. It is promised to one holder, and to one session of that holder: a
//     holder that restarts after a crash may not know which epochs it requested before, and must not lead
//     twice under the same one.
//   - While a lease is in force, no other member is granted one.
//   - Writes under a lower epoch than the promised one are rejected (the epoch is the fencing token).
//   - Grants and acknowledgements are sent only once they are backed by durable state. Leases themselves are
//     kept in memory only; see `assume_leases`.
class ShardAcceptor {
 public:
  // The references must outlive this object. `status` is read at every request.
  ShardAcceptor(Runtime& runtime, CommitQueue& commit_queue, const MembershipStatus& status);

  // Load stored entries at startup.
  void load_state(const std::string& shard, const wire::ShardState& state);
  void load_record(const std::string& shard, const wire::ShardRecord& record);
  // Treats every promise as a lease granted now. To be called when this node starts, as it may have granted
  // leases before the restart that it no longer knows, and when it begins to vote.
  void assume_leases();

  // Grants, renews or releases a lease.
  void lease(const wire::LeaseRequest& request, const ReplyCallback& reply);
  // Answers with one page of the replica, if the epoch is the promised one.
  void read(const wire::ShardRead& request, const ReplyCallback& reply);
  // Applies the records written by a lease holder.
  void write(const wire::ShardWrite& request, const ReplyCallback& reply);

  // The lease in force that this acceptor has granted, if any. `unconfirmed` is set until the holder is known
  // to have the grants of a majority.
  std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const;
  std::vector<wire::ShardLeader> leases_in_force() const;
  // Highest epoch promised for a shard; 0: none.
  std::uint64_t promised_epoch(const std::string& shard) const;

  // Names of the shards of which this replica holds at least one record that isn't deleted.
  std::vector<std::string> shards_with_records() const;

  // All replicas by shard, for a state transfer to a newcomer. The pointers are valid until the next change.
  std::map<std::string, const ShardReplica*> replicas() const;
  // Replaces a replica; the changes are appended to `batch`.
  void replace(const std::string& shard, ShardReplica replica, StoreBatch& batch);

 private:
  struct Lease {
    std::uint64_t epoch = 0;
    std::uint64_t holder = 0;
    std::uint64_t session = 0;
    Address address;
    TimePoint expiry{};
    bool confirmed = false;  // a majority granted it
  };
  struct Shard {
    ShardReplica replica;
    std::size_t live_records = 0;     // records of the replica that aren't deleted
    std::uint64_t durable_epoch = 0;  // highest promised epoch that is durable
    Lease lease;
  };

  bool is_in_force(const Shard& shard) const;
  std::optional<wire::ShardLeader> unexpired_leader(const std::string& name, const Shard& shard) const;
  void release(Shard& shard, const wire::LeaseRequest& request);
  bool may_grant(const Shard& shard, const wire::LeaseRequest& request) const;
  // Promises an epoch to the holder and session that `to` names.
  void promise(const std::string& name, const wire::ShardState& to, StoreBatch& batch);
  void grant(const wire::LeaseRequest& request, wire::LeaseReply answer, const ReplyCallback& reply);
  // Adds a record to the replica, or replaces an older version of it.
  static void put_record(Shard& shard, const wire::ShardRecord& record);
  void apply(const wire::ShardWrite& request, StoreBatch& batch);
  // Raises the base to this epoch, as the replica is now equal to its holder's state.
  void establish(const std::string& name, std::uint64_t epoch, StoreBatch& batch);

  Runtime& runtime_;
  CommitQueue& commit_queue_;
  const MembershipStatus& status_;
  std::map<std::string, Shard> shards_;  // by name
};

// Keys in the store. The part of a record's key before the first zero byte is the shard's name.
std::string shard_store_key(const std::string& shard);
std::string record_store_key(const std::string& shard, const std::string& key);

}  // namespace winchhall::cluster
