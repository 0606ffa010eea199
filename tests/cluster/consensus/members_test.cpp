// Who belongs to the control group: its founding, machines that join, lose their disks, or are replaced.
#include <catch2/catch.hpp>

#include "cluster/consensus/member_record.hpp"
#include "tests/cluster/consensus/consensus_calls.hpp"

namespace winchhall::cluster::sim {
namespace {

using Cluster = ControlCluster<>;

TEST_CASE("founders and joining machines make one group soon after the start") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    for (const std::size_t machines : {3, 4, 5, 7}) {
      CAPTURE(seed, machines);
      Cluster cluster(seed, machines);
      cluster.bootstrap();
      REQUIRE(wait_until_stable(cluster, Millis(5000)));
      REQUIRE(append(cluster, machines - 1, "x"));
      CHECK(read(cluster, 0) == "x");
    }
  }
}

TEST_CASE("the group starts with one founder missing, and takes it in later") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    cluster.crash(seed % 3);
    cluster.simulation().run_for(Millis(3000));
    REQUIRE(append(cluster, 3, "x"));
    cluster.start(seed % 3);
    REQUIRE(wait_until_stable(cluster, Millis(6000)));
    CHECK(read(cluster, seed % 3) == "x");
  }
}

TEST_CASE("a machine that lost its disk comes back under a new id within the time to catch up") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    std::string expected;
    for (std::size_t round = 0; round < 6; ++round) {
      const std::size_t index = (seed + round) % 5;
      const std::string mark = std::to_string(round);
      REQUIRE(append(cluster, (index + round) % 5, mark));
      expected += mark;
      const std::uint64_t old_id = cluster.group(index).member_id();
      cluster.wipe(index);
      REQUIRE(wait_until_stable(cluster, Millis(4000)));
      CHECK(cluster.group(index).member_id() != old_id);
      CHECK(cluster.group(0).members().members_size() == 5);
    }
    CHECK(read(cluster, 0) == expected);
  }
}

TEST_CASE(
    "what was acknowledged outlasts every disk, lost one after another, though two members never heard of "
    "it") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
    cluster.crash(order[3]);
    cluster.crash(order[4]);
    REQUIRE(append(cluster, order[0], "x"));
    cluster.start(order[3]);
    cluster.start(order[4]);
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    for (const std::size_t index : order) {
      cluster.wipe(index);
      REQUIRE(wait_until_stable(cluster, Millis(4000)));
      simulation.run_for(Millis(simulation.random_between(0, 1000)));
    }
    CHECK(read(cluster, seed % 5) == "x");
  }
}

TEST_CASE("one loses its disk while all others lose power, right after an acknowledgement") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    const std::size_t proposer = seed % 5;
    const std::size_t wiped = (seed / 5) % 5;
    REQUIRE(append(cluster, proposer, "x"));
    cluster.crash_all();
    cluster.node(wiped).lose_disk();
    for (std::size_t index = 0; index < 5; ++index) {
      cluster.simulation().in(Millis(cluster.simulation().random_between(0, 1000)),
                              [&cluster, index] { cluster.start(index); });
    }
    cluster.simulation().run_for(Millis(1001));
    REQUIRE(wait_until_stable(cluster, Millis(6000)));
    CHECK(read(cluster, wiped) == "x");
  }
}

TEST_CASE("a machine that is gone for good is replaced by one from elsewhere") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    REQUIRE(append(cluster, 0, "x"));
    cluster.simulation().run_for(Millis(6000));
    const std::size_t gone = seed % 5;
    cluster.crash(gone);
    const std::size_t successor = cluster.add_machine();
    cluster.start(successor);
    REQUIRE(wait_until_stable(cluster, Millis(15000)));
    CHECK(cluster.group(successor).members().members_size() == 5);
    CHECK(read(cluster, successor) == "x");
    // Another one may be lost now.
    cluster.crash((gone + 1) % 5);
    REQUIRE(append(cluster, successor, "y"));
  }
}

TEST_CASE("a member that was only cut off stays, or comes back under a new id if it was replaced") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    const std::size_t away = seed % 5;
    const std::uint64_t old_id = cluster.group(away).member_id();
    cluster.simulation().isolate(away);
    cluster.simulation().run_for(Millis(20000));
    cluster.simulation().heal();
    REQUIRE(wait_until_stable(cluster, Millis(4000)));
    REQUIRE(cluster.group(away).member_id() == old_id);

    cluster.simulation().isolate(away);
    cluster.simulation().run_for(Millis(2000));
    const std::size_t successor = cluster.add_machine();
    cluster.simulation().cut_both(away, successor);
    cluster.start(successor);
    REQUIRE(cluster.simulation().run_until([&] { return cluster.is_member(successor); }, Millis(15000)));
    cluster.simulation().heal();
    REQUIRE(wait_until_stable(cluster, Millis(6000)));
    CHECK(cluster.group(away).member_id() != old_id);
    CHECK(cluster.group(away).members().members_size() == 6);
  }
}

TEST_CASE("a machine that joins while the group grows does not stop it") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    cluster.simulation().run_for(Millis(cluster.simulation().random_between(0, 1500)));
    cluster.wipe(3);
    REQUIRE(wait_until_stable(cluster, Millis(8000)));
    REQUIRE(append(cluster, 3, "x"));
  }
}

// Plays a chain of records and quorums as sets and checks the claim in member_record.hpp: whatever was
// acknowledged by a quorum under one record is held by some member of every quorum under each later record.
class ChainModel {
 public:
  explicit ChainModel(std::mt19937_64& generator) : generator_(generator) {
    record_.set_epoch(1);
    const std::uint64_t founders = 1 + generator_() % 5;
    record_.set_largest(static_cast<std::uint32_t>(founders));
    for (std::uint64_t id = 1; id <= founders; ++id) add_id(record_, id);
    next_id_ = founders + 1;
    for (const wire::Member& member : record_.members()) voting_.insert(member.id());
  }

  void acknowledge() {
    const std::optional<std::set<std::uint64_t>> quorum = pick(majority(record_), voting_);
    if (quorum) things_.push_back(*quorum);
  }
  void change() {
    if (generator_() % 2 == 0 && record_.members_size() < 7) {
      wire::Member newcomer;
      newcomer.set_id(next_id_++);
      record_ = with_member(record_, newcomer);
    } else if (may_remove_member(record_)) {
      const int index = static_cast<int>(generator_() % static_cast<std::uint64_t>(record_.members_size()));
      const std::uint64_t id = record_.members(index).id();
      record_ = without_member(record_, id);
      voting_.erase(id);
    }
  }
  void synchronize() {
    for (const wire::Member& member : record_.members()) {
      if (voting_.contains(member.id()) || generator_() % 2 == 0) continue;
      const std::optional<std::set<std::uint64_t>> sources =
          pick(state_transfer_sources_needed(record_), voting_);
      if (!sources) continue;
      for (std::set<std::uint64_t>& holders : things_) {
        const bool copied = std::any_of(sources->begin(), sources->end(),
                                        [&](std::uint64_t source) { return holders.contains(source); });
        if (copied) holders.insert(member.id());
      }
      voting_.insert(member.id());
    }
  }
  // Every majority of voting members holds every thing, i.e. fewer than a majority don't.
  bool safe() const {
    return std::all_of(things_.begin(), things_.end(), [&](const std::set<std::uint64_t>& holders) {
      std::size_t stale = 0;
      for (const wire::Member& member : record_.members()) {
        if (voting_.contains(member.id()) && !holders.contains(member.id())) ++stale;
      }
      return stale < majority(record_);
    });
  }

 private:
  static void add_id(wire::MemberRecord& record, std::uint64_t id) { record.add_members()->set_id(id); }

  std::optional<std::set<std::uint64_t>> pick(std::size_t count, const std::set<std::uint64_t>& from) {
    std::vector<std::uint64_t> candidates;
    for (const wire::Member& member : record_.members()) {
      if (from.contains(member.id())) candidates.push_back(member.id());
    }
    if (candidates.size() < count) return std::nullopt;
    std::shuffle(candidates.begin(), candidates.end(), generator_);
    return std::set<std::uint64_t>(candidates.begin(),
                                   candidates.begin() + static_cast<std::ptrdiff_t>(count));
  }

  std::mt19937_64& generator_;
  wire::MemberRecord record_;
  std::set<std::uint64_t> voting_;
  std::vector<std::set<std::uint64_t>> things_;
  std::uint64_t next_id_ = 0;
};

TEST_CASE("quorums of any two records hold what was acknowledged, whatever the changes between them") {
  std::mt19937_64 generator(17);
  for (int chain = 0; chain < 20000; ++chain) {
    ChainModel model(generator);
    for (int step = 0; step < 20; ++step) {
      if (generator() % 2 == 0) model.acknowledge();
      if (generator() % 2 == 0) model.change();
      if (generator() % 2 == 0) model.synchronize();
      if (!model.safe()) FAIL("a quorum lacks what was acknowledged, chain " << chain);
    }
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
