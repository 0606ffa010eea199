// The Paxos acceptor of one node: registers, shard leases and shard replicas.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cluster/consensus/register_acceptor.hpp"
#include "cluster/consensus/shard_acceptor.hpp"
#include "cluster/consensus/transferred_state.hpp"

namespace winchhall::cluster {

// Combines the acceptors of registers and shards: dispatches requests, loads the store, and exports and
// imports the whole state for state transfers. The state is kept in memory and written through to the store.
class Acceptor {
 public:
  // The references must outlive this object.
  Acceptor(Runtime& runtime, CommitQueue& commit_queue, const MembershipStatus& status,
           RegisterAcceptor::ChosenListener on_chosen);

  // Loads one entry of the store at startup. Ignores entries of other components.
  void load(std::string_view key, std::string_view value);
  // Handles requests for registers, leases and shards. Returns false for requests of any other kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);

  // The entries of the whole state that follow a key, up to the size of a page. The states of shards come
  // before their records: a copy is made page by page while writes continue, and a copied base must not be
  // newer than the copied records.
  wire::StatePage state_page(const std::string& after_key) const;
  // Adds an entry of another acceptor's state page to a copy.
  static void add_state_entry(const wire::StateEntry& entry, TransferredState& copy);
  // Merges copies of other acceptors' states into this one. The changes take effect in memory immediately and
  // become durable with the returned batch, which the caller has to commit.
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
