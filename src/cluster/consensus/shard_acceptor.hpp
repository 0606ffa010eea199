// The acceptor's half of the shards: promised epochs, leases in force, replicas of the records.
//
// A replica's `base` is the highest lease epoch whose holder made the replica equal to its own state. A new
// holder reads a majority, takes the replicas with the highest base whole, and from the others only records
// written under that base or later: so what an earlier holder wrote without a majority, and its successor did
// not see, never comes back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/commit_queue.hpp"
#include "cluster/consensus/membership_status.hpp"

namespace winchhall::cluster {

using ShardRecords = std::map<std::string, wire::ShardRecord>;

// An epoch is promised to one holder, and to one session of it: a holder that comes back from a crash may
// have forgotten for which epochs it asked, and must not lead twice under one of them.
//
// One acceptor's whole replica of a shard.
struct ShardReplica {
  wire::ShardState state;
  ShardRecords records;
};

// True if `left` is the older version.
bool is_older(const wire::ShardRecord& left, const wire::ShardRecord& right);

// Union of several replicas as described above.
ShardReplica merge_replicas(const std::vector<const ShardReplica*>& replicas);

class ShardAcceptor {
 public:
  ShardAcceptor(Runtime& runtime, CommitQueue& commit_queue, const MembershipStatus& membership_status);

  // Take up stored states at the start.
  void load_state(const std::string& shard, const wire::ShardState& state);
  void load_record(const std::string& shard, const wire::ShardRecord& record);
  // Treats every promise as a lease granted now: what was granted before is not known.
  void assume_leases();

  void lease(const wire::LeaseRequest& request, const ReplyCallback& reply);
  void read(const wire::ShardRead& request, const ReplyCallback& reply);
  void write(const wire::ShardWrite& request, const ReplyCallback& reply);

  // The lease in force at this acceptor; none: no such lease.
  std::optional<wire::ShardLeader> lease_in_force(const std::string& shard) const;
  std::vector<wire::ShardLeader> leases_in_force() const;
  // Highest epoch promised for a shard.
  std::uint64_t promised_epoch(const std::string& shard) const;

  // Whole replicas by shard, for a newcomer that copies them.
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
    std::uint64_t durable_epoch = 0;
    Lease lease;
  };

  bool in_force(const Shard& shard) const;
  std::optional<wire::ShardLeader> describe(const std::string& name, const Shard& shard) const;
  void release(Shard& shard, const wire::LeaseRequest& request);
  bool may_grant(const Shard& shard, const wire::LeaseRequest& request) const;
  // Notes to whom an epoch was promised.
  void promise(const std::string& name, const wire::ShardState& to, StoreBatch& batch);
  void grant(const wire::LeaseRequest& request, wire::LeaseReply answer, const ReplyCallback& reply);
  void apply(const wire::ShardWrite& request, StoreBatch& batch);
  void establish(const std::string& name, std::uint64_t epoch, StoreBatch& batch);

  Runtime& runtime_;
  CommitQueue& commit_queue_;
  const MembershipStatus& membership_status_;
  std::map<std::string, Shard> shards_;
};

// Keys in the store. The part of a record's key before the first zero byte is the shard's name.
std::string shard_store_key(const std::string& shard);
std::string record_store_key(const std::string& shard, const std::string& key);

}  // namespace winchhall::cluster
