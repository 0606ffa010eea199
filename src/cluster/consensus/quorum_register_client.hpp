// The proposer of one node: changes registers by Paxos ballots, with retries.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/register_attempt.hpp"

namespace winchhall::cluster {

// Executes changes of one register one after another and changes of different registers concurrently. An
// attempt that ends without a chosen value is repeated under a higher ballot until the change times out. The
// pauses between attempts are random with exponential backoff, so that competing proposers do not keep
// preempting each other.
class QuorumRegisterClient : public RegisterClient {
 public:
  // Called with every chosen value that an attempt of this node found or established. `newly_chosen`: the
  // attempt established it.
  using ChosenListener =
      std::function<void(const std::string& key, const RegisterValue& value, bool newly_chosen)>;

  // `proposer`: an id that no other process and no other incarnation of this one has, since a proposer must
  // not use a ballot twice. `group` must outlive this object.
  QuorumRegisterClient(GroupContext& group, std::uint64_t proposer, ChosenListener on_chosen);
  ~QuorumRegisterClient() override;

  void update(const std::string& key, RegisterChange change, Millis timeout,
              std::function<void(std::optional<RegisterValue>)> done) override;
  // Deletes the state of registers that are never needed again, unless a change of them is in progress.
  void drop(const std::function<bool(const std::string& key)>& unneeded);
  // Records that a value is known to be chosen, so that acceptors need not send it again.
  void on_value_chosen(const std::string& key, const RegisterValue& value);

 private:
  struct Update {
    RegisterChange change;
    std::function<void(std::optional<RegisterValue>)> done;
    std::unique_ptr<Timer> deadline;
  };
  struct Register {
    RegisterValue known;                          // newest value known to be chosen
    std::uint64_t highest_counter = 0;            // of any ballot used or seen
    std::deque<std::shared_ptr<Update>> updates;  // the first one is in progress
    std::shared_ptr<RegisterAttempt> attempt;     // of the first update; null: none, or waiting for a retry
    std::unique_ptr<Timer> retry;
    unsigned failures = 0;  // consecutive failed attempts
  };

  void start_attempt(const std::string& key);
  void on_attempt_ended(const std::string& key, const AttemptResult& result);
  void retry_later(const std::string& key);
  void complete_first(const std::string& key, const RegisterValue& value);
  void expire(const std::string& key, const std::shared_ptr<Update>& update);
  static void cancel_attempt(Register& entry);

  GroupContext& group_;
  const std::uint64_t proposer_;
  const ChosenListener on_chosen_;
  std::map<std::string, Register> registers_;  // by key
};

}  // namespace winchhall::cluster
