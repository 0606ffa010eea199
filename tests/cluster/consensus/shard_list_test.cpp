// A list of the shards with records, read from a majority, is complete whichever machine reads it.
#include <catch2/catch.hpp>
#include <map>

#include "cluster/consensus/ballot.hpp"
#include "tests/cluster/consensus/lease_candidate.hpp"
#include "tests/cluster/consensus/scripted_group.hpp"
#include "tests/cluster/support/seed_range.hpp"

namespace winchhall::cluster::sim {
namespace {

using test::SeedRange;
using testing::kScriptedEpoch;
using testing::ScriptedGroup;

constexpr Millis kLimit{20000};

std::size_t wait_for_leader(CandidateCluster& cluster) {
  REQUIRE(cluster.simulation().run_until([&] { return leader_of(cluster).has_value(); }, kLimit));
  return *leader_of(cluster);
}

void write(CandidateCluster& cluster, const ShardChange& change) {
  for (bool written = false; !written;) {
    std::optional<ShardWriteOutcome> outcome;
    cluster.application(wait_for_leader(cluster)).shard->write({change}, [&](ShardWriteOutcome result) {
      outcome = result;
    });
    REQUIRE(cluster.simulation().run_until([&] { return outcome.has_value(); }, kLimit));
    written = outcome == ShardWriteOutcome::durable;
  }
}

// The list as one machine reads it; none if no majority answers.
std::optional<ShardList> read_list(CandidateCluster& cluster, std::size_t index) {
  bool done = false;
  std::optional<ShardList> list;
  cluster.group(index).list_shards([&](std::optional<ShardList> result) {
    done = true;
    list = std::move(result);
  });
  REQUIRE(cluster.simulation().run_until([&] { return done; }, kLimit));
  return list;
}

// Reads again until there is a list.
ShardList await_list(CandidateCluster& cluster, std::size_t index) {
  for (Millis waited{0}; waited < kLimit; waited += Millis(100)) {
    if (const std::optional<ShardList> list = read_list(cluster, index)) return *list;
    cluster.simulation().run_for(Millis(100));
  }
  FAIL("no list");
  return {};
}

// A read of a group whose members the test answers for.
class ScriptedReadFixture {
 public:
  ScriptedReadFixture() : simulation_(1), group_(simulation_.add_node("10.0.0.1:7000", {})) {
    std::make_shared<ShardListReader>(group_, [this](std::optional<ShardList> list) {
      ended_ = true;
      list_ = std::move(list);
    })->start();
  }

  static wire::MemberPing answer_of(std::uint64_t member, const std::string& shard) {
    wire::MemberPing answer;
    answer.set_from(member);
    answer.set_member_epoch(kScriptedEpoch);
    answer.set_voting(true);
    answer.add_shards(shard);
    return answer;
  }
  void answer(std::uint64_t member, const wire::MemberPing& answer) {
    wire::Envelope envelope;
    *envelope.mutable_member_ping() = answer;
    group_.calls.at(member - 1).done(CallResult{std::move(envelope), CallError::timed_out});
  }
  void fail(std::uint64_t member) {
    group_.calls.at(member - 1).done(CallResult{std::nullopt, CallError::timed_out});
  }
  bool ended() const { return ended_; }
  const std::optional<ShardList>& list() const { return list_; }

 private:
  Simulation simulation_;
  ScriptedGroup group_;
  bool ended_ = false;
  std::optional<ShardList> list_;
};

}  // namespace

TEST_CASE_METHOD(ScriptedReadFixture, "the list is the union of what a majority holds") {
  answer(1, answer_of(1, "a"));
  answer(4, answer_of(4, "b"));
  CHECK_FALSE(ended());
  answer(2, answer_of(2, "a"));
  REQUIRE(list());
  CHECK(list()->shards == std::set<std::string>{"a", "b"});
}

TEST_CASE_METHOD(ScriptedReadFixture, "answers that count for no quorum count for no list") {
  answer(1, answer_of(1, "a"));
  answer(2, answer_of(2, "a"));
  wire::MemberPing useless = answer_of(3, "a");
  SECTION("a member that doesn't vote") { useless.set_voting(false); }
  SECTION("another member record") { useless.set_member_epoch(kScriptedEpoch + 1); }
  SECTION("another machine at the member's address") { useless.set_from(6); }
  answer(3, useless);
  CHECK_FALSE(ended());
  fail(4);
  CHECK_FALSE(ended());
  fail(5);
  CHECK(ended());
  CHECK_FALSE(list());
}

TEST_CASE("a shard is listed from its first acknowledged record on until it has none") {
  CandidateCluster cluster(1, 3);
  cluster.bootstrap();
  wait_for_leader(cluster);
  CHECK(await_list(cluster, 0).shards.empty());
  write(cluster, {"k", "v"});
  write(cluster, {"l", "v"});
  for (std::size_t index = 0; index < cluster.size(); ++index)
    CHECK(await_list(cluster, index).shards == std::set<std::string>{kShard});
  write(cluster, {"k", std::nullopt});
  CHECK(await_list(cluster, 1).shards.size() == 1);
  write(cluster, {"l", std::nullopt});
  cluster.simulation().run_for(Millis(1000));  // until the third replica has it too
  CHECK(await_list(cluster, 2).shards.empty());
}

// Guards against answers "there is none" of a machine that knows less than the others.
TEST_CASE("every machine lists a shard with an acknowledged record, whatever it has lost") {
  SeedRange::from_environment({1, 30}).for_each([](std::uint64_t seed) {
    CAPTURE(seed);
    CandidateCluster cluster(seed, seed % 2 == 0 ? 3 : 5);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, kLimit));
    // One machine misses the write; another one restarts after it, with or without its disk.
    const auto random_machine = [&] {
      return static_cast<std::size_t>(
          simulation.random_between(0, static_cast<std::int64_t>(cluster.size()) - 1));
    };
    const std::size_t absent = random_machine();
    simulation.isolate(absent);
    simulation.run_for(Millis(3000));
    write(cluster, {"k", "v"});
    simulation.heal();
    const std::size_t restarted = random_machine();
    if (restarted != absent && simulation.chance(0.5)) {
      cluster.wipe(restarted);
    } else {
      cluster.crash(restarted);
      cluster.start(restarted);
    }
    for (std::size_t index = 0; index < cluster.size(); ++index)
      CHECK(await_list(cluster, index).shards.contains(kShard));
  });
}

TEST_CASE("a machine without a majority reads no list") {
  CandidateCluster cluster(1, 3);
  cluster.bootstrap();
  wait_for_leader(cluster);
  write(cluster, {"k", "v"});
  cluster.simulation().isolate(0);
  CHECK_FALSE(read_list(cluster, 0));
  cluster.simulation().heal();
  CHECK(await_list(cluster, 0).shards.size() == 1);
}

TEST_CASE("the ballot of a list is not below that of the chosen configuration") {
  SeedRange::from_environment({1, 20}).for_each([](std::uint64_t seed) {
    CAPTURE(seed);
    CandidateCluster cluster(seed, 3);
    cluster.bootstrap();
    REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, kLimit));
    const std::size_t proposer = seed % 3;
    std::optional<RegisterValue> chosen;
    cluster.group(proposer).registers().update(
        "configuration", [](const std::string&) { return std::optional<std::string>("value"); }, kLimit,
        [&](const std::optional<RegisterValue>& value) { chosen = value; });
    REQUIRE(cluster.simulation().run_until([&] { return chosen.has_value(); }, kLimit));
    cluster.crash(proposer);
    const ShardList list = await_list(cluster, (proposer + 1) % 3);
    CHECK_FALSE(is_lower(list.accepted_configuration, chosen->ballot));
  });
}

}  // namespace winchhall::cluster::sim
