// Explicit-state exploration of all orders of events up to a bound: registers, a change of the member record,
// a newcomer's state transfer, a crash and a lost disk, with the real acceptor, proposer and state transfer.
// `[.long]` explores larger bounds.
#include <catch2/catch.hpp>
#include <cstdio>
#include <random>
#include <unordered_set>

#include "tests/cluster/consensus/model_run.hpp"

namespace winchhall::cluster::exploration {
namespace {

// Explores all runs depth first; equal states are visited once.
class Exploration {
 public:
  explicit Exploration(const ExplorationBounds& bounds) : bounds_(bounds) {}

  void run(const char* name) {
    std::vector<std::size_t> path;
    visit(path);
    std::printf("exploration, %s: %zu states, depth %zu, %zu runs acknowledged something%s\n", name,
                seen_.size(), deepest_, acknowledged_, limit_reached_ ? " (limit reached: partial)" : "");
    CHECK(acknowledged_ > 0);
  }

 private:
  std::unique_ptr<ModelRun> replay(const std::vector<std::size_t>& path) const {
    auto run = std::make_unique<ModelRun>(bounds_);
    for (const std::size_t choice : path) run->choose(choice);
    return run;
  }
  void visit(std::vector<std::size_t>& path) {
    std::unique_ptr<ModelRun> run = replay(path);
    if (!run->is_safe()) {
      CAPTURE(path);
      FAIL("a quorum lacks what was acknowledged");
    }
    if (bounds_.max_states != 0 && seen_.size() >= bounds_.max_states) {
      limit_reached_ = true;
      return;
    }
    if (!seen_.insert(run->describe()).second) return;
    deepest_ = std::max(deepest_, path.size());
    if (run->acknowledged() > 0) ++acknowledged_;
    const std::size_t choices = run->choices();
    run.reset();
    for (std::size_t choice = 0; choice < choices; ++choice) {
      path.push_back(choice);
      visit(path);
      path.pop_back();
    }
  }

  const ExplorationBounds bounds_;
  std::unordered_set<std::string> seen_;
  std::size_t deepest_ = 0;
  std::size_t acknowledged_ = 0;
  bool limit_reached_ = false;
};

ExplorationBounds bounds(unsigned losses, unsigned duplicates, unsigned crashes, unsigned attempts,
                         std::size_t max_states) {
  ExplorationBounds bounds;
  bounds.losses = losses;
  bounds.duplicates = duplicates;
  bounds.crashes = crashes;
  bounds.attempts = attempts;
  bounds.max_states = max_states;
  return bounds;
}

// Three founders and one proposer whose messages the test delivers one by one.
struct SingleAttemptFixture {
  SingleAttemptFixture() {
    wire::MemberRecord record;
    record.set_epoch(1);
    for (std::uint64_t id = 1; id <= 3; ++id) {
      record.add_members()->set_id(id);
      cluster.add_node(id, true).membership_status.member_epoch = 1;
    }
    cluster.context(cluster.add_context(11)).adopt(record);
  }
  void start() {
    wire::Ballot ballot;
    ballot.set_counter(1);
    ballot.set_proposer(11);
    attempt = std::make_shared<RegisterAttempt>(
        cluster.context(0), kList, ballot, RegisterValue{},
        [](const std::string&) { return std::optional<std::string>("a"); },
        [this](const AttemptResult& ended) { result = ended; });
    attempt->start();
  }
  // Delivers messages until none is in flight.
  void deliver_all() {
    while (!cluster.messages().empty()) cluster.deliver(0);
  }
  void sync_all() {
    for (std::size_t index = 0; index < cluster.nodes(); ++index) cluster.node(index).store.sync_all();
  }

  ModelCluster cluster;
  std::shared_ptr<RegisterAttempt> attempt;
  std::optional<AttemptResult> result;
};

TEST_CASE("an acceptor answers only once its answer is backed by durable state") {
  SingleAttemptFixture fixture;
  fixture.start();
  fixture.deliver_all();  // promises wait for the disks
  CHECK(fixture.cluster.messages().empty());
  fixture.sync_all();
  CHECK(fixture.cluster.messages().size() == 3);
  fixture.deliver_all();  // accepted values wait for the disks, too
  CHECK_FALSE(fixture.result);
  CHECK(fixture.cluster.messages().empty());
  fixture.sync_all();
  fixture.deliver_all();
  REQUIRE(fixture.result);
  CHECK(fixture.result->outcome == AttemptOutcome::chosen);
}

TEST_CASE("answers of members that lack the state do not count for a majority") {
  SingleAttemptFixture fixture;
  fixture.cluster.node(1).membership_status.voting = false;
  fixture.cluster.node(2).membership_status.voting = false;
  fixture.start();
  for (int round = 0; round < 3; ++round) {
    fixture.deliver_all();
    fixture.sync_all();
  }
  fixture.deliver_all();
  REQUIRE(fixture.result);
  CHECK(fixture.result->outcome == AttemptOutcome::rejected);
}

constexpr std::size_t kShort = 8000;
constexpr std::size_t kLong = 300000;

TEST_CASE("all orders of two proposers on three acceptors, short") {
  Exploration(bounds(0, 0, 0, 1, 0)).run("every order");
  Exploration(bounds(0, 0, 1, 1, kShort)).run("one crash");
  Exploration(bounds(0, 1, 0, 1, kShort)).run("one duplicated message");
  Exploration(bounds(1, 0, 0, 2, kShort)).run("one loss, two attempts");
}

TEST_CASE("all orders of a newcomer's admission and state transfer beside a proposer, short") {
  ExplorationBounds joined = bounds(0, 0, 0, 1, kShort);
  joined.newcomer = true;
  joined.lost_disk = true;
  Exploration(joined).run("newcomer and lost disk");
}

TEST_CASE("all orders of two proposers on three acceptors, long", "[.long]") {
  Exploration(bounds(0, 0, 1, 1, kLong)).run("one crash");
  Exploration(bounds(0, 1, 0, 1, kLong)).run("one duplicated message");
  Exploration(bounds(1, 0, 0, 2, kLong)).run("one loss, two attempts");
  Exploration(bounds(1, 1, 1, 2, kLong)).run("loss, duplicated message, crash, two attempts");
}

TEST_CASE("all orders of a newcomer's admission and state transfer beside proposers, long", "[.long]") {
  ExplorationBounds joined = bounds(0, 0, 0, 1, kLong);
  joined.newcomer = true;
  joined.lost_disk = true;
  Exploration(joined).run("newcomer and lost disk");
}

// One random run for each seed, with a loss, a duplicated message, a crash, a newcomer and a lost disk.
void check_random_runs(std::uint64_t first_seed, std::uint64_t runs) {
  ExplorationBounds run_bounds = bounds(1, 1, 1, 2, 0);
  run_bounds.newcomer = true;
  run_bounds.lost_disk = true;
  std::size_t acknowledged = 0;
  std::size_t steps = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
    std::mt19937_64 generator(seed);
    ModelRun run(run_bounds);
    for (std::size_t choices = run.choices(); choices > 0; choices = run.choices()) {
      run.choose(generator() % choices);
      ++steps;
      if (!run.is_safe()) {
        CAPTURE(seed);
        FAIL("a quorum lacks what was acknowledged");
      }
    }
    if (run.acknowledged() > 0) ++acknowledged;
  }
  std::printf("random runs: seeds %llu to %llu, %zu steps, %zu acknowledged something\n",
              static_cast<unsigned long long>(first_seed),
              static_cast<unsigned long long>(first_seed + runs - 1), steps, acknowledged);
  CHECK(acknowledged > 0);
}

TEST_CASE("random runs, short") { check_random_runs(1, 2000); }
TEST_CASE("a million random runs, first quarter", "[.drawn]") { check_random_runs(1, 250000); }
TEST_CASE("a million random runs, second quarter", "[.drawn]") { check_random_runs(250001, 250000); }
TEST_CASE("a million random runs, third quarter", "[.drawn]") { check_random_runs(500001, 250000); }
TEST_CASE("a million random runs, fourth quarter", "[.drawn]") { check_random_runs(750001, 250000); }

}  // namespace
}  // namespace winchhall::cluster::exploration
