// The acceptor of one node: registers, leases and replicas of shards, kept in memory and mirrored to the
// store.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/consensus/register_acceptor.hpp"
#include "cluster/consensus/shard_acceptor.hpp"
#include "cluster/consensus/transferred_state.hpp"

namespace winchhall::cluster {

class Acceptor {
 public:
  Acceptor(Runtime& runtime, CommitQueue& commit_queue, const MembershipStatus& membership_status,
           RegisterAcceptor::ChosenListener on_chosen);

  // Takes up one entry of the store at the start; others than the acceptor's are passed over.
  void load(std::string_view key, std::string_view value);
  // Answers requests for registers, leases and shards; false: of another kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  // Entries of the whole state that follow a key, for a newcomer: states of shards first, as a copy's bases
  // must not be newer than its records.
  wire::StatePage state_page(const std::string& after_key) const;
  // Takes an entry of another acceptor's state page into a copy.
  static void add_state_entry(const wire::StateEntry& entry, TransferredState& copy);
  // Joins copies of other acceptors' states with this one. The changes are in memory at once and become
  // durable with the batch that is returned.
  StoreBatch merge(const std::vector<TransferredState>& copies);

  RegisterAcceptor& registers() { return registers_; }
  const RegisterAcceptor& registers() const { return registers_; }
  ShardAcceptor& shards() { return shards_; }
  const ShardAcceptor& shards() const { return shards_; }

 private:
  void merge_shard(const std::string& shard, const std::vector<TransferredState>& copies, StoreBatch& batch);

  RegisterAcceptor registers_;
  ShardAcceptor shards_;
};

}  // namespace winchhall::cluster
