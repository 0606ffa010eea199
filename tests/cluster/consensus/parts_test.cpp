// The parts of the control group one by one: what an acceptor refuses, what counts for a majority, what a
// lease holder knows of its replicas.
#include <catch2/catch.hpp>

#include "cluster/consensus/ballot.hpp"
#include "cluster/consensus/register_attempt.hpp"
#include "cluster/consensus/replica_progress.hpp"
#include "tests/cluster/support/sim_runtime.hpp"

namespace winchhall::cluster {
namespace {

constexpr std::uint64_t kEpoch = 3;  // of the member record

wire::Ballot ballot(std::uint64_t counter, std::uint64_t proposer = 1) {
  wire::Ballot ballot;
  ballot.set_counter(counter);
  ballot.set_proposer(proposer);
  return ballot;
}

wire::ShardRecord shard_record(const std::string& key, std::uint64_t epoch, std::uint64_t sequence) {
  wire::ShardRecord record;
  record.set_key(key);
  record.set_epoch(epoch);
  record.set_sequence(sequence);
  record.set_value(key + std::to_string(epoch) + "." + std::to_string(sequence));
  return record;
}

TEST_CASE(
    "a merge of replicas drops what was written before the highest base, beside the replicas that have it") {
  ShardReplica based;
  based.state.set_base(5);
  based.records["a"] = shard_record("a", 2, 1);
  ShardReplica stray;
  stray.state.set_base(2);
  stray.records["a"] = shard_record("a", 3, 9);
  stray.records["b"] = shard_record("b", 4, 1);
  stray.records["c"] = shard_record("c", 5, 1);
  const ShardReplica merged = merge_replicas({&stray, &based});
  CHECK(merged.state.base() == 5);
  CHECK(merged.records.size() == 2);
  CHECK(merged.records.at("a").sequence() == 1);
  CHECK(merged.records.contains("c"));
}

TEST_CASE("a replica that was not watched from the start counts for no change before its content is known") {
  LeaderRecordTable records(1, {});
  const std::string value = "x";
  records.put("a", &value);
  ReplicaProgress late(false);
  CHECK(late.acknowledged_up_to(records.last_change()) == 0);
  late.reconcile_with({}, records);
  CHECK(late.acknowledged_up_to(records.last_change()) == 0);
  const ReplicationBatch message = late.next_message(records).value();
  late.confirmed(message, records);
  CHECK(late.acknowledged_up_to(records.last_change()) == 1);
}

TEST_CASE("a confirmation of an older version does not stand for a newer one") {
  LeaderRecordTable records(1, {});
  ReplicaProgress follower(true);
  const std::string value = "x";
  records.put("a", &value);
  follower.mark("a", 1);
  const ReplicationBatch first = follower.next_message(records).value();
  records.put("a", &value);
  follower.mark("a", 2);
  records.put("b", &value);
  follower.mark("b", 3);
  follower.confirmed(first, records);
  CHECK(follower.acknowledged_up_to(3) == 1);
  const ReplicationBatch second = follower.next_message(records).value();
  follower.failed(second);
  CHECK(follower.acknowledged_up_to(3) == 1);
  // One record first, to see whether it answers again.
  const ReplicationBatch third = follower.next_message(records).value();
  REQUIRE(third.sent.size() == 1);
  CHECK_FALSE(follower.next_message(records));
  follower.confirmed(third, records);
  CHECK(follower.acknowledged_up_to(3) == 2);
  const ReplicationBatch fourth = follower.next_message(records).value();
  follower.confirmed(fourth, records);
  CHECK(follower.acknowledged_up_to(3) == 3);
}

TEST_CASE("a replica that confirms nothing is sent one record at a time, however much it lacks") {
  LeaderRecordTable records(1, {});
  ReplicaProgress follower(true);
  const std::string value(1000, 'x');
  std::size_t sent = 0;
  for (std::uint64_t change = 1; change <= 1000; ++change) {
    const std::string key = std::to_string(change);
    records.put(key, &value);
    follower.mark(key, change);
    if (const std::optional<ReplicationBatch> message = follower.next_message(records)) {
      sent += message->sent.size();
      follower.failed(*message);
    }
  }
  CHECK(sent == 1000);
  const ReplicationBatch probe = follower.next_message(records).value();
  REQUIRE(probe.sent.size() == 1);
  follower.confirmed(probe, records);
  std::vector<ReplicationBatch> rest;
  while (std::optional<ReplicationBatch> message = follower.next_message(records)) rest.push_back(*message);
  CHECK(rest.size() > 1);
  while (!rest.empty()) {
    follower.confirmed(rest.back(), records);
    rest.pop_back();
    while (std::optional<ReplicationBatch> message = follower.next_message(records)) rest.push_back(*message);
  }
  CHECK(follower.acknowledged_up_to(1000) == 1000);
}

TEST_CASE("a replica is established by the last of the messages that complete it, not before") {
  ShardRecords found;
  const std::string large(100000, 'x');
  for (int number = 0; number < 6; ++number) {
    const std::string key = "key" + std::to_string(number);
    found[key] = shard_record(key, 1, 1);
    found[key].set_value(large);
  }
  const LeaderRecordTable records(2, found);
  LeaderRecordTable held = records;
  ReplicaProgress follower(true);
  follower.reconcile_with({}, held);
  std::size_t sent = 0;
  while (std::optional<ReplicationBatch> message = follower.next_message(held)) {
    sent += message->sent.size();
    CHECK(message->establishes == (sent == 6));
    CHECK_FALSE(follower.next_message(held));  // one at a time
    follower.confirmed(*message, held);
  }
  CHECK(sent == 6);
  CHECK(follower.established());
}

// A group whose members answer as a test says.
class ScriptedGroup : public GroupContext {
 public:
  explicit ScriptedGroup(Runtime& runtime) : runtime_(runtime) {
    record_.set_epoch(kEpoch);
    for (std::uint64_t id = 1; id <= 5; ++id) record_.add_members()->set_id(id);
  }

  Runtime& runtime() override { return runtime_; }
  const wire::MemberRecord& record() const override { return record_; }
  std::uint64_t self_id() const override { return 1; }
  std::uint64_t next_unique_id() override { return 1; }
  bool voting() const override { return true; }
  bool has_quorum_contact() const override { return true; }
  std::vector<std::uint64_t> reachable_voters() const override { return {}; }
  void call(const wire::Member& member, wire::Envelope request, Millis,
            std::function<void(CallResult)> done) override {
    calls.push_back({member.id(), std::move(request), std::move(done)});
  }
  void defer(std::function<void()> action) override { action(); }
  void on_member_epoch_observed(std::uint64_t, const wire::Member&) override {}
  std::optional<wire::ShardLeader> lease_in_force(const std::string&) const override { return std::nullopt; }
  std::size_t own_lease_count() const override { return 0; }
  std::uint64_t promised_epoch(const std::string&) const override { return 0; }

  struct Call {
    std::uint64_t member = 0;
    wire::Envelope request;
    std::function<void(CallResult)> done;
  };
  std::vector<Call> calls;

 private:
  Runtime& runtime_;
  wire::MemberRecord record_;
};

wire::RegisterPromise promise_of(std::uint64_t acceptor, const wire::Ballot& accepted,
                                 const std::string& value) {
  wire::RegisterPromise promise;
  promise.set_promised(true);
  promise.set_voting(true);
  promise.set_member_epoch(kEpoch);
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
    answer.mutable_register_accepted()->set_member_epoch(kEpoch);
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

const RegisterChange kLeave = [](const std::string&) { return std::nullopt; };
const RegisterChange kAppend = [](const std::string& current) { return current + "+"; };

TEST_CASE(
    "an unchanged value counts as read only if a majority holds it at one ballot, else it is accepted "
    "again") {
  RegisterAttemptFixture unanimous(kLeave);
  for (const std::uint64_t member : {1, 2, 3}) unanimous.promise(member, promise_of(member, ballot(4), "x"));
  REQUIRE(unanimous.result());
  CHECK(unanimous.result()->value.value == "x");
  CHECK_FALSE(unanimous.result()->newly_chosen);

  RegisterAttemptFixture split(kLeave);
  split.promise(1, promise_of(1, ballot(4), "x"));
  split.promise(2, promise_of(2, ballot(6), "y"));
  split.promise(3, promise_of(3, ballot(4), "x"));
  REQUIRE_FALSE(split.result());
  REQUIRE(split.accepting());
  CHECK(split.proposed() == "y");
}

TEST_CASE("answers of members that don't vote, of other epochs, of strangers or given twice don't count") {
  RegisterAttemptFixture bench(kAppend);
  wire::RegisterPromise silent = promise_of(1, ballot(0), "");
  silent.set_voting(false);
  wire::RegisterPromise other_epoch = promise_of(2, ballot(0), "");
  other_epoch.set_member_epoch(kEpoch + 1);
  bench.promise(1, silent);
  bench.promise(2, other_epoch);
  bench.promise(3, promise_of(3, ballot(4), "x"));
  bench.promise(4, promise_of(3, ballot(4), "x"));
  CHECK_FALSE(bench.accepting());
  bench.promise(5, promise_of(77, ballot(4), "x"));
  CHECK_FALSE(bench.accepting());
  REQUIRE(bench.result());
  CHECK(bench.result()->outcome == AttemptOutcome::refused);

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
