// Membership of the control group: founding, machines that join, lose their disks, or are replaced.
#include <catch2/catch.hpp>

#include "cluster/consensus/member_record.hpp"
#include "tests/cluster/consensus/register_calls.hpp"

namespace winchhall::cluster::sim {
namespace {

using Cluster = ControlCluster<>;

TEST_CASE("founders and joining machines form one group soon after the start") {
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

TEST_CASE("the group starts with one founder missing, and admits it later") {
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
      const std::string marker = std::to_string(round);
      REQUIRE(append(cluster, (index + round) % 5, marker));
      expected += marker;
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
    "an acknowledged value survives the loss of every disk, one after another, though two members missed "
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

TEST_CASE("one member loses its disk while all others lose power, right after an acknowledgement") {
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

TEST_CASE("a permanently failed machine is replaced by another one") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Cluster cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(wait_until_stable(cluster, Millis(5000)));
    REQUIRE(append(cluster, 0, "x"));
    cluster.simulation().run_for(Millis(6000));
    const std::size_t failed = seed % 5;
    cluster.crash(failed);
    const std::size_t successor = cluster.add_machine();
    cluster.start(successor);
    REQUIRE(wait_until_stable(cluster, Millis(15000)));
    CHECK(cluster.group(successor).members().members_size() == 5);
    CHECK(read(cluster, successor) == "x");
    // The group tolerates the loss of another member now.
    cluster.crash((failed + 1) % 5);
    REQUIRE(append(cluster, successor, "y"));
  }
}

TEST_CASE("a partitioned member stays, or comes back under a new id if it was replaced") {
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

TEST_CASE("a machine that joins while the group grows does not block the growth") {
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

// Models a chain of member records and quorums as sets and checks the claim in member_record.hpp: everything
// that a quorum acknowledged under one record is held by some member of every quorum under each later record.
class RecordChainModel {
 public:
  // `with_earlier_version`: some changes are made by a version of the program that knows no learners.
  RecordChainModel(std::mt19937_64& generator, bool with_earlier_version)
      : generator_(generator), with_earlier_version_(with_earlier_version) {
    record_.set_epoch(1);
    const std::uint64_t founders = 1 + generator_() % 5;
    record_.set_largest(static_cast<std::uint32_t>(founders));
    for (std::uint64_t id = 1; id <= founders; ++id) add_id(record_, id);
    next_id_ = founders + 1;
    for (const wire::Member& member : record_.members()) voting_.insert(member.id());
  }

  void acknowledge() {
    const std::optional<std::set<std::uint64_t>> quorum = random_subset(majority(record_), voting_);
    if (quorum) acknowledged_holders_.push_back(*quorum);
  }
  void change() {
    switch (generator_() % 8) {
      case 0:
        return add_member();
      case 1:
        return add_learner();
      case 2:
      case 3:
        return promote();
      case 4:
        return confirm();
      case 5:
        if (record_.learners_size() > 0) record_ = without_learner(record_, record_.learners(0).id());
        return;
      case 6:
        if (with_earlier_version_) change_by_earlier_version();
        return;
      default:
        return remove_member();
    }
  }
  void transfer_state() {
    for (const wire::Member& member : record_.members()) {
      const std::uint64_t id = member.id();
      const bool needs_state = !voting_.contains(id) || is_unconfirmed(record_, id);
      if (needs_state && generator_() % 2 == 0 && copy_state_to(id)) voting_.insert(id);
    }
    for (const wire::Member& learner : record_.learners()) {
      if (generator_() % 2 == 0) copy_state_to(learner.id());
    }
  }
  std::size_t promotions() const { return promotions_; }
  std::size_t confirmations() const { return confirmations_; }

  // True if every majority contains a holder of each acknowledged value: fewer than a majority lack it.
  bool is_safe() const {
    return std::all_of(acknowledged_holders_.begin(), acknowledged_holders_.end(),
                       [&](const std::set<std::uint64_t>& holders) {
                         std::size_t stale = 0;
                         for (const wire::Member& member : record_.members()) {
                           if (voting_.contains(member.id()) && !holders.contains(member.id())) ++stale;
                         }
                         return stale < majority(record_);
                       });
  }

 private:
  static constexpr int kMaxMembers = 7;

  static void add_id(wire::MemberRecord& record, std::uint64_t id) { record.add_members()->set_id(id); }

  wire::Member make_newcomer() {
    wire::Member newcomer;
    newcomer.set_id(next_id_++);
    newcomer.set_address("10.0.0." + std::to_string(newcomer.id()) + ":7000");
    return newcomer;
  }
  void add_member() {
    if (record_.members_size() < kMaxMembers) record_ = with_member(record_, make_newcomer());
  }
  void add_learner() {
    if (record_.members_size() + record_.learners_size() < kMaxMembers)
      record_ = with_learner(record_, make_newcomer());
  }
  void promote() {
    for (const wire::Member& learner : record_.learners()) {
      const std::uint64_t id = learner.id();
      if (!may_promote(record_, copied_epochs_[id])) continue;
      record_ = with_promoted(record_, id);
      voting_.insert(id);
      ++promotions_;
      return;
    }
  }
  void confirm() {
    const std::uint64_t id = record_.unconfirmed();
    if (!may_confirm(record_, id, copied_epochs_[id])) return;
    record_ = with_confirmed(record_);
    ++confirmations_;
  }
  void remove_member() {
    const int index = static_cast<int>(generator_() % static_cast<std::uint64_t>(record_.members_size()));
    const std::uint64_t id = record_.members(index).id();
    if (!may_remove_member(record_, id)) return;
    record_ = without_member(record_, id);
    voting_.erase(id);
  }
  // Computes a successor as revision cd78c59 does, which copies the fields that it does not know.
  void change_by_earlier_version() {
    const auto members = static_cast<std::size_t>(record_.members_size());
    const std::size_t bound = std::max<std::size_t>(record_.stale_bound(), members - majority(record_));
    const bool removes = generator_() % 2 == 0;
    if (removes && (members <= 1 || majority_of(members - 1) <= bound)) return;
    if (!removes && members >= kMaxMembers) return;
    record_.set_epoch(record_.epoch() + 1);
    record_.set_stale_bound(static_cast<std::uint32_t>(bound));
    if (!removes) {
      *record_.add_members() = make_newcomer();
      return;
    }
    const int index = static_cast<int>(generator_() % members);
    voting_.erase(record_.members(index).id());
    record_.mutable_members()->DeleteSubrange(index, 1);
  }

  // Returns false if there are too few voting members to copy from.
  bool copy_state_to(std::uint64_t id) {
    std::set<std::uint64_t> others = voting_;
    others.erase(id);
    const std::optional<std::set<std::uint64_t>> sources =
        random_subset(state_transfer_sources_needed(record_, id), others);
    if (!sources) return false;
    for (std::set<std::uint64_t>& holders : acknowledged_holders_) {
      const bool copied = std::any_of(sources->begin(), sources->end(),
                                      [&](std::uint64_t source) { return holders.contains(source); });
      if (copied) holders.insert(id);
    }
    copied_epochs_[id] = record_.epoch();
    return true;
  }

  std::optional<std::set<std::uint64_t>> random_subset(std::size_t count,
                                                       const std::set<std::uint64_t>& from) {
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
  const bool with_earlier_version_;
  wire::MemberRecord record_;
  std::set<std::uint64_t> voting_;
  std::map<std::uint64_t, std::uint64_t> copied_epochs_;  // member epoch of the newest copy, by id
  std::size_t promotions_ = 0;
  std::size_t confirmations_ = 0;
  std::vector<std::set<std::uint64_t>> acknowledged_holders_;
  std::uint64_t next_id_ = 0;
};

void check_record_chains(bool with_earlier_version) {
  std::mt19937_64 generator(17);
  std::size_t promotions = 0;
  std::size_t confirmations = 0;
  for (int chain = 0; chain < 40000; ++chain) {
    RecordChainModel model(generator, with_earlier_version);
    for (int step = 0; step < 30; ++step) {
      if (generator() % 2 == 0) model.acknowledge();
      if (generator() % 2 == 0) model.change();
      if (generator() % 2 == 0) model.transfer_state();
      if (!model.is_safe())
        FAIL("a quorum lacks what was acknowledged, chain " << chain << ", step " << step);
    }
    promotions += model.promotions();
    confirmations += model.confirmations();
  }
  CHECK(promotions > 10000);
  CHECK(confirmations > 1000);
}

TEST_CASE("quorums of any two member records hold what was acknowledged, whatever the changes between them") {
  check_record_chains(false);
}

TEST_CASE("quorums hold what was acknowledged although some changes are made by a version without learners") {
  check_record_chains(true);
}

}  // namespace
}  // namespace winchhall::cluster::sim
