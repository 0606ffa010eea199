// The acceptor's half of the compare-and-swap registers: promises and accepted values, answered once durable.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cluster/consensus/commit_queue.hpp"
#include "cluster/consensus/membership_status.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

class RegisterAcceptor {
 public:
  // Told of every newer value that is known to be chosen.
  using ChosenListener = std::function<void(const std::string& key, const RegisterValue& value)>;

  RegisterAcceptor(CommitQueue& commit_queue, const MembershipStatus& membership_status,
                   ChosenListener on_chosen);

  // Takes up a stored state at the start.
  void load(const std::string& key, const wire::RegisterState& state);

  void prepare(const wire::RegisterPrepare& request, const ReplyCallback& reply);
  void accept(const wire::RegisterAccept& request, const ReplyCallback& reply);
  // A value is known to be chosen. Keeps it, also as accepted where no higher ballot was promised.
  void learn(const std::string& key, const RegisterValue& value);

  // Drops registers that are never needed again.
  void drop(const std::function<bool(const std::string& key)>& unneeded);

  // The newest value known to be chosen; none: never heard of one.
  std::optional<RegisterValue> chosen(const std::string& key) const;

  // Ballot of a value that was accepted here and isn't known to be chosen; counter 0: there is none.
  wire::Ballot unresolved_ballot(const std::string& key) const;

  const std::map<std::string, wire::RegisterState>& states() const { return states_; }
  // Adds what another acceptor holds, for a newcomer; the changes are appended to `batch`.
  void merge(const std::string& key, const wire::RegisterState& other, StoreBatch& batch);

 private:
  StoreWrite stored(const std::string& key) const;

  CommitQueue& commit_queue_;
  const MembershipStatus& membership_status_;
  const ChosenListener on_chosen_;
  std::map<std::string, wire::RegisterState> states_;
  std::map<std::string, RegisterValue> chosen_;
};

// Key of a register in the store.
std::string register_store_key(const std::string& key);

}  // namespace winchhall::cluster
