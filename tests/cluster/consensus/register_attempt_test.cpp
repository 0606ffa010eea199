// One ballot of a register: which answers count for a majority, and when a read needs an accept phase.
#include "cluster/consensus/register_attempt.hpp"

#include <catch2/catch.hpp>

#include "cluster/consensus/ballot.hpp"
#include "tests/cluster/consensus/scripted_group.hpp"
#include "tests/cluster/support/sim_runtime.hpp"

namespace winchhall::cluster {
namespace {

using testing::kScriptedEpoch;
using testing::ScriptedGroup;

wire::Ballot ballot(std::uint64_t counter, std::uint64_t proposer = 1) {
  wire::Ballot ballot;
  ballot.set_counter(counter);
  ballot.set_proposer(proposer);
  return ballot;
}

wire::RegisterPromise promise_of(std::uint64_t acceptor, const wire::Ballot& accepted,
                                 const std::string& value) {
  wire::RegisterPromise promise;
  promise.set_promised(true);
  promise.set_voting(true);
  promise.set_member_epoch(kScriptedEpoch);
  promise.set_acceptor(acceptor);
  *promise.mutable_accepted() = accepted;
  promise.set_value(value);
  return promise;
}

class RegisterAttemptFixture {
 public:
  explicit RegisterAttemptFixture(RegisterChange change)
      : simulation_(1), group_(simulation_.add_node("10.0.0.1:7000", {})) {
    attempt_ =
        std::make_shared<RegisterAttempt>(group_, "key", ballot(10), RegisterValue{}, std::move(change),
                                          [this](const AttemptResult& result) { result_ = result; });
    attempt_->start();
  }
  // Answers the member's call of the newest round.
  void promise(std::uint64_t member, const wire::RegisterPromise& promise) {
    wire::Envelope answer;
    *answer.mutable_register_promise() = promise;
    this->answer(member, std::move(answer));
  }
  void accepted(std::uint64_t member, bool voting = true) {
    wire::Envelope answer;
    answer.mutable_register_accepted()->set_accepted(true);
    answer.mutable_register_accepted()->set_voting(voting);
    answer.mutable_register_accepted()->set_member_epoch(kScriptedEpoch);
    answer.mutable_register_accepted()->set_acceptor(member);
    this->answer(member, std::move(answer));
  }
  bool accepting() const { return group_.calls.size() > 5; }
  std::string proposed() const { return group_.calls.back().request.register_accept().value(); }
  const std::optional<AttemptResult>& result() const { return result_; }

 private:
  void answer(std::uint64_t member, wire::Envelope envelope) {
    const std::size_t round = accepting() ? 5 : 0;
    group_.calls.at(round + member - 1).done(CallResult{std::move(envelope), CallError::timed_out});
  }

  sim::Simulation simulation_;
  ScriptedGroup group_;
  std::shared_ptr<RegisterAttempt> attempt_;
  std::optional<AttemptResult> result_;
};

const RegisterChange kLeaveUnchanged = [](const std::string&) { return std::nullopt; };
const RegisterChange kAppend = [](const std::string& current) { return current + "+"; };

TEST_CASE(
    "an unchanged value counts as read only if a majority holds it at one ballot, else it is accepted "
    "again") {
  RegisterAttemptFixture unanimous(kLeaveUnchanged);
  for (const std::uint64_t member : {1, 2, 3}) unanimous.promise(member, promise_of(member, ballot(4), "x"));
  REQUIRE(unanimous.result());
  CHECK(unanimous.result()->value.value == "x");
  CHECK_FALSE(unanimous.result()->newly_chosen);

  RegisterAttemptFixture split(kLeaveUnchanged);
  split.promise(1, promise_of(1, ballot(4), "x"));
  split.promise(2, promise_of(2, ballot(6), "y"));
  split.promise(3, promise_of(3, ballot(4), "x"));
  REQUIRE_FALSE(split.result());
  REQUIRE(split.accepting());
  CHECK(split.proposed() == "y");
}

TEST_CASE("answers from non-voters, other epochs, non-members or given twice don't count for a majority") {
  RegisterAttemptFixture attempt(kAppend);
  wire::RegisterPromise not_voting = promise_of(1, ballot(0), "");
  not_voting.set_voting(false);
  wire::RegisterPromise other_epoch = promise_of(2, ballot(0), "");
  other_epoch.set_member_epoch(kScriptedEpoch + 1);
  attempt.promise(1, not_voting);
  attempt.promise(2, other_epoch);
  attempt.promise(3, promise_of(3, ballot(4), "x"));
  attempt.promise(4, promise_of(3, ballot(4), "x"));
  CHECK_FALSE(attempt.accepting());
  attempt.promise(5, promise_of(77, ballot(4), "x"));
  CHECK_FALSE(attempt.accepting());
  REQUIRE(attempt.result());
  CHECK(attempt.result()->outcome == AttemptOutcome::rejected);

  RegisterAttemptFixture accepting(kAppend);
  for (const std::uint64_t member : {1, 2, 3}) accepting.promise(member, promise_of(member, ballot(4), "x"));
  REQUIRE(accepting.accepting());
  CHECK(accepting.proposed() == "x+");
  accepting.accepted(1);
  accepting.accepted(2);
  accepting.accepted(4, false);
  CHECK_FALSE(accepting.result());
  accepting.accepted(5);
  REQUIRE(accepting.result());
  CHECK(accepting.result()->outcome == AttemptOutcome::chosen);
}

}  // namespace
}  // namespace winchhall::cluster
