// The acceptor of the Paxos registers, and the chosen values that it has learned.
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
//   - The promised ballot never decreases, and nothing below it is accepted.
//   - A promise or an acceptance is answered only once it is durable.
//   - Only requests of this node's member epoch are executed, so that all acceptors of a quorum know the same
//     member record (see member_record.hpp). Other requests are answered with this node's epoch.
class RegisterAcceptor {
 public:
  // Called with every newer chosen value that this acceptor learns.
  using ChosenListener = std::function<void(const std::string& key, const RegisterValue& value)>;

  // The references must outlive this object. `status` is read at every request.
  RegisterAcceptor(CommitQueue& commit_queue, const MembershipStatus& status, ChosenListener on_chosen);

  // Loads a stored state at startup.
  void load(const std::string& key, const wire::RegisterState& state);

  // Phase 1: promises to accept nothing below the ballot, and reports the newest accepted value.
  void prepare(const wire::RegisterPrepare& request, const ReplyCallback& reply);
  // Phase 2: accepts the value unless a higher ballot was promised.
  void accept(const wire::RegisterAccept& request, const ReplyCallback& reply);
  // Stores a value that is known to be chosen. Also accepts it unless a higher ballot was promised.
  void learn(const std::string& key, const RegisterValue& value);

  // Deletes registers that are never needed again.
  void drop(const std::function<bool(const std::string& key)>& unneeded);

  // The newest value known to be chosen, if any.
  std::optional<RegisterValue> chosen(const std::string& key) const;
  // Ballot of the newest value that was accepted here; counter 0: none.
  wire::Ballot accepted_ballot(const std::string& key) const;
  // Ballot of a value that was accepted here but is not known to be chosen; counter 0: there is none.
  wire::Ballot unresolved_ballot(const std::string& key) const;

  // All registers by key, for a state transfer to a newcomer.
  const std::map<std::string, wire::RegisterState>& states() const { return states_; }
  // Merges another acceptor's state into this one, for a newcomer: takes the higher promise and the value
  // accepted under the higher ballot. The changes are appended to `batch`.
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
