// Configuration changes and reads at control nodes that are partitioned, frozen, stalled, wiped or
// superseded. All responses that the operators receive must be consistent with one history of versions.
#include "tests/cluster/control/configuration_history.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/long_fault_injector.hpp"

namespace winchhall::cluster::sim {
namespace {

constexpr Millis kStabilizationTimeout{15000};

// Parameters of one simulated run. `response_loss` is the probability that a response is lost.
struct Scenario {
  std::uint64_t seed = 0;
  std::size_t machines = 5;
  std::size_t operators = 2;
  double response_loss = 0.5;
  bool long_faults = false;
  bool wipes = false;
  SimulationOptions simulation_options;
  std::int64_t duration_ms = 40000;
};

void require_all_nodes_serve_reads(ConfigurationCluster& cluster, ConfigurationHistory& history) {
  std::size_t found = 0;
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    history.read(index, [&found](const ConfigurationRead& read) {
      REQUIRE(read.kind == ConfigurationReadKind::found);
      ++found;
    });
  }
  REQUIRE(cluster.simulation().run_until([&] { return found == cluster.size(); }, Millis(6000)));
}

// Sends every change once more. The changes that were applied must be acknowledged again, and every change
// must get a definite response.
void require_outcomes_unchanged_on_retry(ConfigurationCluster& cluster, ConfigurationHistory& history) {
  std::size_t answered = 0;
  const auto requests = history.requests();
  for (const auto& request : requests) {
    const auto index = static_cast<std::size_t>(cluster.simulation().random() % cluster.size());
    history.send(index, request, 0, [&answered, request](ConfigurationOutcomeKind kind) {
      REQUIRE(kind != ConfigurationOutcomeKind::unavailable);
      if (request->applied) REQUIRE(kind == ConfigurationOutcomeKind::applied);
      ++answered;
    });
    REQUIRE(cluster.simulation().run_until([&] { return answered > 0; }, Millis(6000)));
    answered = 0;
  }
}

// Operators change and read the configuration while faults are injected. Afterwards every node must serve
// reads, and the outcome of every change must be the same as before.
void run_scenario(const Scenario& scenario) {
  CAPTURE(scenario.seed, scenario.machines, scenario.response_loss);
  ConfigurationCluster cluster(scenario.seed, scenario.machines, scenario.simulation_options);
  ConfigurationHistory history(cluster);
  std::vector<SimulatedOperator> operators(scenario.operators,
                                           SimulatedOperator(cluster, history, scenario.response_loss));
  FaultPlan fault_plan;
  fault_plan.disk_losses = scenario.wipes;
  FaultInjector<ConfigurationNode> faults(cluster, fault_plan);
  LongFaultInjector<ConfigurationNode> long_faults(cluster);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  std::int64_t next_fault_ms = 2500;
  const std::int64_t end_ms = simulation.now_ms() + scenario.duration_ms;
  while (simulation.now_ms() < end_ms) {
    for (SimulatedOperator& simulated_operator : operators) simulated_operator.act();
    simulation.run_for(Millis(simulation.random_between(20, 300)));
    if (simulation.now_ms() < next_fault_ms) continue;
    if (scenario.long_faults) {
      next_fault_ms =
          simulation.now_ms() + long_faults.inject_fault().count() + simulation.random_between(0, 3000);
    } else {
      faults.inject_fault();
      next_fault_ms = simulation.now_ms() + simulation.random_between(50, 2500);
    }
  }
  faults.end_faults();
  simulation.options().loss = 0;
  simulation.options().late = 0;
  simulation.run_for(scenario.long_faults ? Millis(30000) : kMaxFaultDuration);
  REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, kStabilizationTimeout));
  require_all_nodes_serve_reads(cluster, history);
  require_outcomes_unchanged_on_retry(cluster, history);
  REQUIRE(history.applied() > 5);
}

TEST_CASE("partitioned, frozen or with a stalled disk for 5 to 30 s: no response shows stale state") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Scenario scenario;
    scenario.seed = seed;
    scenario.machines = seed % 2 == 0 ? 5 : 3;
    scenario.long_faults = true;
    scenario.duration_ms = 60000;
    run_scenario(scenario);
  }
}

TEST_CASE("several operators under one version number, with most responses lost") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Scenario scenario;
    scenario.seed = seed;
    scenario.operators = 3;
    scenario.response_loss = 0.8;
    scenario.simulation_options.duplication = 0.1;
    scenario.simulation_options.late = 0.05;
    scenario.simulation_options.loss = seed % 3 == 0 ? 0.05 : 0;
    run_scenario(scenario);
  }
}

TEST_CASE("changes are retried while members lose their disks one after another") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Scenario scenario;
    scenario.seed = seed;
    scenario.machines = 5;
    scenario.wipes = true;
    scenario.response_loss = 0.7;
    scenario.simulation_options.duplication = 0.05;
    run_scenario(scenario);
  }
}

TEST_CASE("after a partition heals a node serves again within a second") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    ConfigurationCluster cluster(seed, 5);
    ConfigurationHistory history(cluster);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, kStabilizationTimeout));
    const std::size_t isolated = seed % 5;
    const std::size_t other = (isolated + 1) % 5;
    const auto first = history.request(ConfigurationChangeKind::put, 0, 1);
    bool applied = false;
    history.send(other, first, 0, [&applied](ConfigurationOutcomeKind) { applied = true; });
    REQUIRE(simulation.run_until([&] { return applied; }, Millis(1000)));
    simulation.isolate(isolated);
    simulation.run_for(Millis(2000));
    CHECK_FALSE(cluster.group(isolated).has_quorum_contact());
    const auto second = history.request(ConfigurationChangeKind::put, 1, 2);
    history.send(other, second, 0);
    simulation.run_for(Millis(18000));
    REQUIRE(second->applied);
    simulation.heal();
    const std::int64_t healed_ms = simulation.now_ms();
    std::optional<std::uint64_t> read;
    // A caller retries every 100 ms.
    while (!read && simulation.now_ms() < healed_ms + 1000) {
      history.read(isolated, [&read](const ConfigurationRead& answer) {
        if (answer.kind == ConfigurationReadKind::found) read = answer.version;
      });
      simulation.run_for(Millis(100));
    }
    CHECK(read == 2);
    const ConfigurationService& service = cluster.application(isolated).service;
    const auto serves_again = [&] {
      return cluster.group(isolated).has_quorum_contact() && service.newest() &&
             service.newest()->version == 2;
    };
    REQUIRE(simulation.run_until(serves_again, Millis(healed_ms + 1000 - simulation.now_ms())));
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
