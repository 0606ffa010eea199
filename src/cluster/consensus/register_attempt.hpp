// One ballot of a change to a register.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

// How one ballot ended.
enum class AttemptOutcome {
  chosen,       // `value` is chosen by a majority
  rejected,     // an acceptor promised a higher ballot, or knows another member record
  no_majority,  // no majority answered, and no answer was a rejection
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::no_majority;
  RegisterValue value;
  bool newly_chosen = false;  // an accept phase was needed
};

// The proposer's side of Paxos for one ballot: prepare, then accept, both to all members of the record that
// was the newest when the attempt was created.
//
// Invariants:
//   - The value proposed is derived from the accepted value with the highest ballot among a majority's
//     promises, so that a value that is or may be chosen is never overwritten without having been read.
//   - Only answers count that come from voting members of this record at its epoch, each member once.
//   - A value is reported as chosen without an accept phase only if the whole majority had accepted it under
//     one ballot (or nothing at all). Otherwise some of the majority may not hold it, and a read has to get
//     it accepted again under the attempt's own ballot.
//
// Keeps itself alive until it has ended; `done` is called exactly once, unless the attempt is cancelled.
class RegisterAttempt : public std::enable_shared_from_this<RegisterAttempt> {
 public:
  // `known`: a value known to be chosen. Acceptors that hold exactly this value don't send it. `group` must
  // outlive the attempt or drop its calls' answers.
  RegisterAttempt(GroupContext& group, std::string key, wire::Ballot ballot, RegisterValue known,
                  RegisterChange change, std::function<void(AttemptResult)> done);

  void start();
  // Ends the attempt without calling `done`. Messages already sent may still take effect.
  void cancel() { done_ = nullptr; }
  // Highest ballot counter seen in any rejection; 0: none.
  std::uint64_t highest_counter() const { return highest_counter_; }

 private:
  enum class Phase { prepare, accept };

  // Sends to every member; answers count for the phase in which they were requested.
  void broadcast(const wire::Envelope& request);
  void on_answer(Phase phase, const wire::Member& member, const CallResult& result);
  void on_promise(const wire::RegisterPromise& promise);
  void on_accepted(const wire::RegisterAccepted& accepted);
  // True if the answer comes from a voting member of the attempt's record at its epoch.
  bool counts_for_majority(std::uint64_t acceptor, bool voting, std::uint64_t member_epoch) const;
  void on_rejection(const wire::Ballot& highest);
  void fail_if_majority_impossible();
  void on_majority_promised();
  void start_accept(std::string value);
  void finish(AttemptResult result);

  GroupContext& group_;
  const std::string key_;
  const wire::Ballot ballot_;
  const RegisterValue known_;
  const RegisterChange change_;
  std::function<void(AttemptResult)> done_;  // null: ended
  const wire::MemberRecord record_;

  Phase phase_ = Phase::prepare;
  std::size_t unanswered_ = 0;      // calls of this phase
  std::set<std::uint64_t> agreed_;  // members that promised, or accepted, in this phase
  bool rejected_ = false;           // in this phase
  std::uint64_t highest_counter_ = 0;
  wire::Ballot newest_ballot_;  // highest ballot of an accepted value among the promises
  std::string newest_value_;    // the value accepted under it
  bool unanimous_ = true;       // all promises so far report the same accepted ballot
  std::string proposed_;
};

}  // namespace winchhall::cluster
