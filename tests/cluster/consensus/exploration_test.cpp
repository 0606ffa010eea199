// All orders of events, up to a bound: registers, a change of members, a newcomer's copy, a crash and a lost
// disk, with the real acceptor, proposer and copy. `[.long]` walks through larger bounds.
#include <catch2/catch.hpp>
#include <cstdio>
#include <random>
#include <unordered_set>

#include "tests/cluster/consensus/model_run.hpp"

namespace winchhall::cluster::explore {
namespace {

// Walks through all courses of events; equal states are visited once.
class Exploration {
 public:
  explicit Exploration(const Bounds& bounds) : bounds_(bounds) {}

  void run(const char* name) {
    std::vector<std::size_t> path;
    visit(path);
    std::printf("exploration, %s: %zu states, depth %zu, %zu courses acknowledged something%s\n", name,
                seen_.size(), deepest_, acknowledged_, cut_off_ ? " (limit reached: partial)" : "");
    CHECK(acknowledged_ > 0);
  }

 private:
  std::unique_ptr<Course> play(const std::vector<std::size_t>& path) const {
    auto course = std::make_unique<Course>(bounds_);
    for (const std::size_t choice : path) course->choose(choice);
    return course;
  }
  void visit(std::vector<std::size_t>& path) {
    std::unique_ptr<Course> course = play(path);
    if (!course->holds()) {
      CAPTURE(path);
      FAIL("a quorum lacks what was acknowledged");
    }
    if (bounds_.most_states != 0 && seen_.size() >= bounds_.most_states) {
      cut_off_ = true;
      return;
    }
    if (!seen_.insert(course->describe()).second) return;
    deepest_ = std::max(deepest_, path.size());
    if (course->acknowledged() > 0) ++acknowledged_;
    const std::size_t choices = course->choices();
    course.reset();
    for (std::size_t choice = 0; choice < choices; ++choice) {
      path.push_back(choice);
      visit(path);
      path.pop_back();
    }
  }

  const Bounds bounds_;
  std::unordered_set<std::string> seen_;
  std::size_t deepest_ = 0;
  std::size_t acknowledged_ = 0;
  bool cut_off_ = false;
};

Bounds bounds(unsigned losses, unsigned duplicates, unsigned crashes, unsigned attempts, std::size_t most) {
  Bounds bounds;
  bounds.losses = losses;
  bounds.duplicates = duplicates;
  bounds.crashes = crashes;
  bounds.attempts = attempts;
  bounds.most_states = most;
  return bounds;
}

// Three founders and one proposer whose messages the test delivers one by one.
struct OneAttempt {
  OneAttempt() {
    wire::MemberRecord record;
    record.set_epoch(1);
    for (std::uint64_t id = 1; id <= 3; ++id) {
      record.add_members()->set_id(id);
      world.add_node(id, true).membership_status.member_epoch = 1;
    }
    world.view(world.add_view(11)).adopt(record);
  }
  void start() {
    wire::Ballot ballot;
    ballot.set_counter(1);
    ballot.set_proposer(11);
    attempt = std::make_shared<RegisterAttempt>(
        world.view(0), kList, ballot, RegisterValue{},
        [](const std::string&) { return std::optional<std::string>("a"); },
        [this](const AttemptResult& ended) { result = ended; });
    attempt->start();
  }
  // Delivers what is on its way until nothing is.
  void deliver_all() {
    while (!world.messages().empty()) world.deliver(0);
  }
  void sync_all() {
    for (std::size_t index = 0; index < world.nodes(); ++index) world.node(index).store.sync_all();
  }

  World world;
  std::shared_ptr<RegisterAttempt> attempt;
  std::optional<AttemptResult> result;
};

TEST_CASE("an acceptor answers once what it says is durable") {
  OneAttempt play;
  play.start();
  play.deliver_all();  // promises wait for the disks
  CHECK(play.world.messages().empty());
  play.sync_all();
  CHECK(play.world.messages().size() == 3);
  play.deliver_all();  // so do accepted values
  CHECK_FALSE(play.result);
  CHECK(play.world.messages().empty());
  play.sync_all();
  play.deliver_all();
  REQUIRE(play.result);
  CHECK(play.result->outcome == AttemptOutcome::chosen);
}

TEST_CASE("answers of members that lack the state do not count") {
  OneAttempt play;
  play.world.node(1).membership_status.voting = false;
  play.world.node(2).membership_status.voting = false;
  play.start();
  for (int round = 0; round < 3; ++round) {
    play.deliver_all();
    play.sync_all();
  }
  play.deliver_all();
  REQUIRE(play.result);
  CHECK(play.result->outcome == AttemptOutcome::refused);
}

constexpr std::size_t kShort = 8000;
constexpr std::size_t kLong = 300000;

TEST_CASE("all orders of two proposers on three acceptors, short") {
  Exploration(bounds(0, 0, 0, 1, 0)).run("every order");
  Exploration(bounds(0, 0, 1, 1, kShort)).run("one crash");
  Exploration(bounds(0, 1, 0, 1, kShort)).run("one doubled message");
  Exploration(bounds(1, 0, 0, 2, kShort)).run("one loss, two attempts");
}

TEST_CASE("all orders of a newcomer's admission and copy beside a proposer, short") {
  Bounds joined = bounds(0, 0, 0, 1, kShort);
  joined.newcomer = true;
  joined.lost_disk = true;
  Exploration(joined).run("newcomer and lost disk");
}

TEST_CASE("all orders of two proposers on three acceptors, long", "[.long]") {
  Exploration(bounds(0, 0, 1, 1, kLong)).run("one crash");
  Exploration(bounds(0, 1, 0, 1, kLong)).run("one doubled message");
  Exploration(bounds(1, 0, 0, 2, kLong)).run("one loss, two attempts");
  Exploration(bounds(1, 1, 1, 2, kLong)).run("loss, doubled message, crash, two attempts");
}

TEST_CASE("all orders of a newcomer's admission and copy beside proposers, long", "[.long]") {
  Bounds joined = bounds(0, 0, 0, 1, kLong);
  joined.newcomer = true;
  joined.lost_disk = true;
  Exploration(joined).run("newcomer and lost disk");
}

// One drawn course for each seed, with a loss, a doubled message, a crash, a newcomer and a lost disk.
void draw(std::uint64_t first_seed, std::uint64_t courses) {
  Bounds drawn = bounds(1, 1, 1, 2, 0);
  drawn.newcomer = true;
  drawn.lost_disk = true;
  std::size_t acknowledged = 0;
  std::size_t steps = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + courses; ++seed) {
    std::mt19937_64 generator(seed);
    Course course(drawn);
    for (std::size_t choices = course.choices(); choices > 0; choices = course.choices()) {
      course.choose(generator() % choices);
      ++steps;
      if (!course.holds()) {
        CAPTURE(seed);
        FAIL("a quorum lacks what was acknowledged");
      }
    }
    if (course.acknowledged() > 0) ++acknowledged;
  }
  std::printf("drawn courses: seeds %llu to %llu, %zu steps, %zu acknowledged something\n",
              static_cast<unsigned long long>(first_seed),
              static_cast<unsigned long long>(first_seed + courses - 1), steps, acknowledged);
  CHECK(acknowledged > 0);
}

TEST_CASE("drawn courses, short") { draw(1, 2000); }
TEST_CASE("a million drawn courses, first quarter", "[.drawn]") { draw(1, 250000); }
TEST_CASE("a million drawn courses, second quarter", "[.drawn]") { draw(250001, 250000); }
TEST_CASE("a million drawn courses, third quarter", "[.drawn]") { draw(500001, 250000); }
TEST_CASE("a million drawn courses, fourth quarter", "[.drawn]") { draw(750001, 250000); }

}  // namespace
}  // namespace winchhall::cluster::explore
