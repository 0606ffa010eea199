// One ballot of a change to a register: prepare, then accept, on one member record.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cluster/consensus/group_context.hpp"
#include "cluster/consensus/register_client.hpp"

namespace winchhall::cluster {

enum class AttemptOutcome {
  chosen,      // `value` is chosen on a majority
  refused,     // a higher ballot or another member record stands in the way
  unanswered,  // no majority answered
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::unanswered;
  RegisterValue value;
  bool newly_chosen = false;  // an accept round was needed
};

// Holds itself until it has ended; `done` is called exactly once unless cancelled.
class RegisterAttempt : public std::enable_shared_from_this<RegisterAttempt> {
 public:
  RegisterAttempt(GroupContext& group, std::string key, wire::Ballot ballot, RegisterValue known,
                  RegisterChange change, std::function<void(AttemptResult)> done);

  void start();
  // The attempt ends without a word; what it sent may still take effect.
  void cancel() { done_ = nullptr; }
  // Highest counter seen in any answer.
  std::uint64_t highest_counter() const { return highest_counter_; }

 private:
  enum class Phase { prepare, accept };

  // Sends to every member; answers are counted for the phase in which they were asked for.
  void broadcast(const wire::Envelope& request);
  void answered(Phase phase, const wire::Member& member, const CallResult& result);
  void on_promise(const wire::RegisterPromise& promise);
  void on_accepted(const wire::RegisterAccepted& accepted);
  // True if the answer counts: given by a voting member at this attempt's record.
  bool counts(std::uint64_t acceptor, bool voting, std::uint64_t member_epoch) const;
  void on_rejection(const wire::Ballot& highest);
  void fail_if_majority_impossible();
  void prepared();
  void start_accept(std::string value);
  void finish(AttemptResult result);

  GroupContext& group_;
  const std::string key_;
  const wire::Ballot ballot_;
  const RegisterValue known_;
  const RegisterChange change_;
  std::function<void(AttemptResult)> done_;
  const wire::MemberRecord record_;

  Phase phase_ = Phase::prepare;
  std::size_t outstanding_ = 0;
  std::set<std::uint64_t> agreed_;  // members that promised or accepted
  bool refused_ = false;
  std::uint64_t highest_counter_ = 0;
  wire::Ballot newest_ballot_;  // of the newest accepted value reported
  std::string newest_value_;
  bool unanimous_ = true;
  std::string proposed_;
};

}  // namespace winchhall::cluster
