// The acceptor of the Paxos registers, and what it has learned of chosen values.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cluster/consensus/commit_queue.hpp"
#include "cluster/consensus/membership_status.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// Invariants, for each register:
//   - The promised ballot never falls, and nothing below it is accepted.
//   - A promise or an acceptance is answered only once it is durable.
//   - Only requests of this node's member epoch are carried out, so that a quorum consists of acceptors that
//     know the same member record (see member_record.hpp). Others get an answer with this node's epoch.
class RegisterAcceptor {
 public:
  // Called with every newer value that is learned to be chosen.
  using ChosenListener = std::function<void(const std::string& key, const RegisterValue& value)>;

  // The references must outlive this object; `status` is read at every request.
  RegisterAcceptor(CommitQueue& commit_queue, const MembershipStatus& status, ChosenListener on_chosen);

  // Loads a stored state at the start.
  void load(const std::string& key, const wire::RegisterState& state);

  // Phase 1: promises to accept nothing below the ballot, and reports the newest accepted value.
  void prepare(const wire::RegisterPrepare& request, const ReplyCallback& reply);
  // Phase 2: accepts the value unless a higher ballot was promised.
  void accept(const wire::RegisterAccept& request, const ReplyCallback& reply);
  // A value is known to be chosen. Stores it, also as accepted unless a higher ballot was promised.
  void learn(const std::string& key, const RegisterValue& value);

  // Drops registers that are never needed again.
  void drop(const std::function<bool(const std::string& key)>& unneeded);

  // The newest value known to be chosen; none: no chosen value is known.
  std::optional<RegisterValue> chosen(const std::string& key) const;
  // Ballot of a value that was accepted here and is not known to be chosen; counter 0: there is none.
  wire::Ballot unresolved_ballot(const std::string& key) const;

  // All registers by key, for a state transfer to a newcomer.
  const std::map<std::string, wire::RegisterState>& states() const { return states_; }
  // Joins another acceptor's state into this one, for a newcomer: the higher promise and the value accepted
  // under the higher ballot. The changes are appended to `batch`.
  void merge(const std::string& key, const wire::RegisterState& other, StoreBatch& batch);

 private:
  StoreWrite stored(const std::string& key) const;

  CommitQueue& commit_queue_;
  const MembershipStatus& status_;
  const ChosenListener on_chosen_;
  std::map<std::string, wire::RegisterState> states_;  // by key
  std::map<std::string, RegisterValue> chosen_;        // by key; the newest known to be chosen
};

// Key of a register in the store.
std::string register_store_key(const std::string& key);

}  // namespace winchhall::cluster
