// Registers on a simulated control group: every history, also under faults, must be linearizable.
#include <catch2/catch.hpp>

#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {
namespace {

const std::string kKey = "list";

// Appends unique markers to one register from many nodes and checks the values that the updates return: they
// form one chain of prefixes, each contains its own marker exactly once, and every value returned before an
// update began is a prefix of the value that this update returns.
class AppendHistory {
 public:
  explicit AppendHistory(ControlCluster<>& cluster) : cluster_(cluster) {}

  void append(std::size_t index) {
    const std::string marker = "<" + std::to_string(++markers_) + ">";
    update(index, marker, [marker](const std::string& current) -> std::optional<std::string> {
      if (current.find(marker) != std::string::npos) return std::nullopt;
      return current + marker;
    });
  }
  void read(std::size_t index) {
    update(index, "", [](const std::string&) -> std::optional<std::string> { return std::nullopt; });
  }

  std::size_t ended() const { return ended_; }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  // True if a value contains every acknowledged marker.
  bool complete(const std::string& value) const {
    return std::all_of(acknowledged_.begin(), acknowledged_.end(),
                       [&](const std::string& marker) { return value.find(marker) != std::string::npos; });
  }
  const std::string& longest() const { return longest_; }

 private:
  void update(std::size_t index, const std::string& marker, RegisterChange change) {
    if (!cluster_.running(index)) return;
    const std::string before = longest_;
    cluster_.group(index).registers().update(
        kKey, std::move(change), Millis(2500),
        [this, marker, before](const std::optional<RegisterValue>& value) {
          if (value) check(marker, before, value->value);
        });
  }
  void check(const std::string& marker, const std::string& before, const std::string& value) {
    ++ended_;
    if (!marker.empty()) {
      acknowledged_.push_back(marker);
      const std::size_t at = value.find(marker);
      REQUIRE(at != std::string::npos);
      REQUIRE(value.find(marker, at + 1) == std::string::npos);
    }
    REQUIRE(value.starts_with(before));
    REQUIRE((value.starts_with(longest_) || longest_.starts_with(value)));
    if (value.size() > longest_.size()) longest_ = value;
  }

  ControlCluster<>& cluster_;
  std::size_t markers_ = 0;
  std::size_t ended_ = 0;
  std::vector<std::string> acknowledged_;
  std::string longest_;
};

void require_all_acknowledged_readable(ControlCluster<>& cluster, AppendHistory& history) {
  const std::size_t ended = history.ended();
  for (std::size_t index = 0; index < cluster.size(); ++index) history.read(index);
  REQUIRE(cluster.simulation().run_until([&] { return history.ended() >= ended + cluster.size(); },
                                         Millis(6000)));
  REQUIRE(history.complete(history.longest()));
}

void run_history(std::uint64_t seed, std::size_t machines, SimulationOptions options, FaultPlan fault_plan) {
  CAPTURE(seed, machines);
  ControlCluster<> cluster(seed, machines, options);
  AppendHistory history(cluster);
  FaultInjector<NoApplication> faults(cluster, fault_plan);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  const std::int64_t end_ms = simulation.now_ms() + 25000;
  std::int64_t next_fault_ms = 2500;
  while (simulation.now_ms() < end_ms) {
    const auto index =
        static_cast<std::size_t>(simulation.random_between(0, static_cast<std::int64_t>(machines) - 1));
    if (simulation.chance(0.7)) {
      history.append(index);
    } else {
      history.read(index);
    }
    simulation.run_for(Millis(simulation.random_between(1, 150)));
    if (simulation.now_ms() < next_fault_ms) continue;
    faults.inject_fault();
    next_fault_ms = simulation.now_ms() + simulation.random_between(50, 2500);
  }
  faults.end_faults();
  simulation.run_for(kMaxFaultDuration);
  simulation.options().loss = 0;
  simulation.options().late = 0;
  REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, Millis(15000)));
  require_all_acknowledged_readable(cluster, history);
  REQUIRE(history.acknowledged() > 5);
}

TEST_CASE("a healthy group applies changes at once") {
  ControlCluster<> cluster(1, 5);
  cluster.bootstrap();
  REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(5000)));
  std::optional<RegisterValue> chosen;
  const std::int64_t begun_ms = cluster.simulation().now_ms();
  cluster.group(4).registers().update(
      kKey, [](const std::string& current) { return current + "x"; }, Millis(2000),
      [&](std::optional<RegisterValue> value) { chosen = std::move(value); });
  REQUIRE(cluster.simulation().run_until([&] { return chosen.has_value(); }, Millis(2000)));
  CHECK(chosen->value == "x");
  CHECK(cluster.simulation().now_ms() - begun_ms < 80);
}

TEST_CASE("watches are notified of every newer chosen value, also after a restart of all nodes") {
  ControlCluster<> cluster(2, 5);
  cluster.bootstrap();
  REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(5000)));
  std::vector<std::string> notified(5);
  const auto watch = [&] {
    for (std::size_t index = 0; index < 5; ++index) {
      cluster.group(index).watch_register(
          "configuration", [&notified, index](const RegisterValue& value) { notified[index] = value.value; });
    }
  };
  watch();
  bool done = false;
  cluster.group(0).registers().update(
      "configuration", [](const std::string&) { return "v1"; }, Millis(2000),
      [&](const std::optional<RegisterValue>& value) { done = value.has_value(); });
  REQUIRE(cluster.simulation().run_until([&] { return done; }, Millis(2000)));
  REQUIRE(cluster.simulation().run_until([&] { return notified == std::vector<std::string>(5, "v1"); },
                                         Millis(1000)));
  cluster.crash_all();
  notified.assign(5, "");
  cluster.start_all();
  watch();
  REQUIRE(cluster.simulation().run_until([&] { return notified == std::vector<std::string>(5, "v1"); },
                                         Millis(3000)));
}

TEST_CASE("watches are notified of a value that was acknowledged just before all nodes lost power") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    ControlCluster<> cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(5000)));
    bool done = false;
    cluster.group(seed % 5).registers().update(
        "configuration", [](const std::string&) { return "v1"; }, Millis(2000),
        [&](const std::optional<RegisterValue>& value) { done = value.has_value(); });
    REQUIRE(cluster.simulation().run_until([&] { return done; }, Millis(2000)));
    cluster.crash_all();
    cluster.node(seed % 5).lose_disk();
    cluster.start_all();
    std::size_t notified = 0;
    for (std::size_t index = 0; index < 5; ++index) {
      cluster.group(index).watch_register("configuration", [&](const RegisterValue&) { ++notified; });
    }
    REQUIRE(cluster.simulation().run_until([&] { return notified == 5; }, Millis(6000)));
  }
}

TEST_CASE("without a majority an update times out") {
  ControlCluster<> cluster(3, 5);
  cluster.bootstrap();
  REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(5000)));
  for (std::size_t index = 1; index < 4; ++index) cluster.crash(index);
  bool ended = false;
  cluster.group(0).registers().update(
      kKey, [](const std::string&) { return "x"; }, Millis(1000),
      [&](const std::optional<RegisterValue>& value) {
        ended = true;
        CHECK_FALSE(value);
      });
  cluster.simulation().run_for(Millis(1100));
  CHECK(ended);
}

TEST_CASE("one slow, hung or unreachable member does not delay a change") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    ControlCluster<> cluster(seed, 5);
    cluster.bootstrap();
    REQUIRE(cluster.simulation().run_until([&] { return cluster.is_stable(); }, Millis(5000)));
    const std::size_t slow = 1 + seed % 4;
    if (seed % 3 == 0) cluster.node(slow).freeze_for(Millis(5000));
    if (seed % 3 == 1) cluster.node(slow).hang_disk_for(Millis(5000));
    if (seed % 3 == 2) cluster.simulation().isolate(slow);
    bool done = false;
    cluster.group(0).registers().update(
        kKey, [](const std::string& current) { return current + "x"; }, Millis(2000),
        [&](const std::optional<RegisterValue>& value) { done = value.has_value(); });
    REQUIRE(cluster.simulation().run_until([&] { return done; }, Millis(100)));
  }
}

TEST_CASE("registers are linearizable: crashes, freezes, partitions, disk faults") {
  for (std::uint64_t seed = 1; seed <= 120; ++seed)
    run_history(seed, seed % 2 == 0 ? 5 : 3, SimulationOptions{}, FaultPlan{});
}

TEST_CASE("registers are linearizable: lost, duplicated and late messages") {
  SimulationOptions options;
  options.loss = 0.05;
  options.duplication = 0.1;
  options.late = 0.05;
  for (std::uint64_t seed = 1; seed <= 80; ++seed) run_history(seed, 5, options, FaultPlan{});
}

TEST_CASE("registers are linearizable: members lose their disks one after another") {
  SimulationOptions options;
  options.duplication = 0.05;
  options.late = 0.05;
  FaultPlan faults;
  faults.disk_losses = true;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) run_history(seed, seed % 3 == 0 ? 4 : 5, options, faults);
}

}  // namespace
}  // namespace winchhall::cluster::sim
