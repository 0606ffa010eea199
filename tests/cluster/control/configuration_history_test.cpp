// Orders and reads at control nodes that are cut off, frozen, wiped or overtaken: every answer that any
// operator saw fits one course of events.
#include "tests/cluster/control/configuration_history.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/long_fault_injector.hpp"

namespace winchhall::cluster::sim {
namespace {

constexpr Millis kSettled{15000};

struct Scenario {
  std::uint64_t seed = 0;
  std::size_t machines = 5;
  std::size_t operators = 2;
  double lost_answers = 0.5;
  bool long_faults = false;
  bool wipes = false;
  SimulationOptions terms;
  std::int64_t duration_ms = 40000;
};

void require_found_by_all(ConfigurationCluster& cluster, ConfigurationHistory& history) {
  std::size_t found = 0;
  for (std::size_t index = 0; index < cluster.size(); ++index) {
    history.read(index, [&found](const ConfigurationRead& read) {
      REQUIRE(read.kind == ConfigurationReadKind::found);
      ++found;
    });
  }
  REQUIRE(cluster.simulation().run_until([&] { return found == cluster.size(); }, Millis(6000)));
}

// Every order once more: what was taken is acknowledged, everything else is refused.
void require_requests_still_answered_alike(ConfigurationCluster& cluster, ConfigurationHistory& history) {
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

void run_scenario(const Scenario& plan) {
  CAPTURE(plan.seed, plan.machines, plan.lost_answers);
  ConfigurationCluster cluster(plan.seed, plan.machines, plan.terms);
  ConfigurationHistory history(cluster);
  std::vector<SimulatedOperator> operators(plan.operators,
                                           SimulatedOperator(cluster, history, plan.lost_answers));
  FaultPlan terms;
  terms.wipes = plan.wipes;
  FaultInjector<ConfigurationNode> faults(cluster, terms);
  LongFaultInjector<ConfigurationNode> long_faults(cluster);
  Simulation& simulation = cluster.simulation();
  cluster.bootstrap();
  std::int64_t next_fault_ms = 2500;
  const std::int64_t end_ms = simulation.now_ms() + plan.duration_ms;
  while (simulation.now_ms() < end_ms) {
    for (SimulatedOperator& acting : operators) acting.act();
    simulation.run_for(Millis(simulation.random_between(20, 300)));
    if (simulation.now_ms() < next_fault_ms) continue;
    if (plan.long_faults) {
      next_fault_ms = simulation.now_ms() + long_faults.one().count() + simulation.random_between(0, 3000);
    } else {
      faults.one();
      next_fault_ms = simulation.now_ms() + simulation.random_between(50, 2500);
    }
  }
  faults.end();
  simulation.terms().loss = 0;
  simulation.terms().late = 0;
  simulation.run_for(plan.long_faults ? Millis(30000) : kMaxFaultDuration);
  REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, kSettled));
  require_found_by_all(cluster, history);
  require_requests_still_answered_alike(cluster, history);
  REQUIRE(history.applied() > 5);
}

TEST_CASE("cut off, frozen or with a stalled disk for 5 to 30 s: nothing is answered from old state") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Scenario plan;
    plan.seed = seed;
    plan.machines = seed % 2 == 0 ? 5 : 3;
    plan.long_faults = true;
    plan.duration_ms = 60000;
    run_scenario(plan);
  }
}

TEST_CASE("several operators under one number, with most answers lost") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Scenario plan;
    plan.seed = seed;
    plan.operators = 3;
    plan.lost_answers = 0.8;
    plan.terms.duplication = 0.1;
    plan.terms.late = 0.05;
    plan.terms.loss = seed % 3 == 0 ? 0.05 : 0;
    run_scenario(plan);
  }
}

TEST_CASE("orders are sent again while members lose their disks one after another") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Scenario plan;
    plan.seed = seed;
    plan.machines = 5;
    plan.wipes = true;
    plan.lost_answers = 0.7;
    plan.terms.duplication = 0.05;
    run_scenario(plan);
  }
}

TEST_CASE("contact that is restored gives service back within a second") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    ConfigurationCluster cluster(seed, 5);
    ConfigurationHistory history(cluster);
    Simulation& simulation = cluster.simulation();
    cluster.bootstrap();
    REQUIRE(simulation.run_until([&] { return cluster.is_stable(); }, kSettled));
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
    // A caller asks again every 100 ms.
    while (!read && simulation.now_ms() < healed_ms + 1000) {
      history.read(isolated, [&read](const ConfigurationRead& answer) {
        if (answer.kind == ConfigurationReadKind::found) read = answer.version;
      });
      simulation.run_for(Millis(100));
    }
    CHECK(read == 2);
    const ConfigurationService& service = cluster.extra(isolated).service;
    const auto back = [&] {
      return cluster.group(isolated).has_quorum_contact() && service.newest() &&
             service.newest()->version == 2;
    };
    REQUIRE(simulation.run_until(back, Millis(healed_ms + 1000 - simulation.now_ms())));
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
