// Changes registers by quorum rounds, with retries; changes of one key made here are carried out one after
// another.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "cluster/consensus/register_attempt.hpp"

namespace winchhall::cluster {

class QuorumRegisterClient : public RegisterClient {
 public:
  // `on_chosen` is told of every value that an attempt of this node has found or made chosen.
  using ChosenListener =
      std::function<void(const std::string& key, const RegisterValue& value, bool newly_chosen)>;

  // `proposer`: a number that no other process and no earlier life of this one has.
  QuorumRegisterClient(GroupContext& group, std::uint64_t proposer, ChosenListener on_chosen);
  ~QuorumRegisterClient() override;

  void update(const std::string& key, RegisterChange change, Millis timeout,
              std::function<void(std::optional<RegisterValue>)> done) override;
  // Forgets registers that are never needed again, unless a change to them is under way.
  void drop(const std::function<bool(const std::string& key)>& unneeded);
  // A value that is known to be chosen from elsewhere.
  void note_chosen(const std::string& key, const RegisterValue& value);

 private:
  struct Update {
    RegisterChange change;
    std::function<void(std::optional<RegisterValue>)> done;
    std::unique_ptr<Timer> deadline;
  };
  struct Register {
    RegisterValue known;
    std::uint64_t highest_counter = 0;
    std::deque<std::shared_ptr<Update>> updates;  // the first one is under way
    std::shared_ptr<RegisterAttempt> attempt;
    std::unique_ptr<Timer> retry;
    unsigned failures = 0;
  };

  void start_attempt(const std::string& key);
  void attempt_ended(const std::string& key, const AttemptResult& result);
  void retry_later(const std::string& key);
  void complete_first(const std::string& key, const RegisterValue& value);
  void expire(const std::string& key, const std::shared_ptr<Update>& update);
  void cancel_attempt(Register& entry);

  GroupContext& group_;
  const std::uint64_t proposer_;
  const ChosenListener on_chosen_;
  std::map<std::string, Register> registers_;
};

}  // namespace winchhall::cluster
