// Orders and reads at control nodes that are cut off, frozen, wiped or overtaken: every answer that any
// operator saw fits one course of events.
#include "tests/cluster/control/configuration_history.hpp"

#include <catch2/catch.hpp>

#include "tests/cluster/support/long_troubles.hpp"

namespace winchhall::cluster::sim {
namespace {

constexpr Millis kSettled{15000};

struct Play {
  std::uint64_t seed = 0;
  std::size_t machines = 5;
  std::size_t operators = 2;
  double lost_answers = 0.5;
  bool long_troubles = false;
  bool wipes = false;
  SimTerms terms;
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
  REQUIRE(cluster.world().run_until([&] { return found == cluster.size(); }, Millis(6000)));
}

// Every order once more: what was taken is acknowledged, everything else is refused.
void require_orders_stand(ConfigurationCluster& cluster, ConfigurationHistory& history) {
  std::size_t answered = 0;
  const auto orders = history.orders();
  for (const auto& order : orders) {
    const auto index = static_cast<std::size_t>(cluster.world().random() % cluster.size());
    history.send(index, order, 0, [&answered, order](ConfigurationOutcomeKind kind) {
      REQUIRE(kind != ConfigurationOutcomeKind::unavailable);
      if (order->taken) REQUIRE(kind == ConfigurationOutcomeKind::applied);
      ++answered;
    });
    REQUIRE(cluster.world().run_until([&] { return answered > 0; }, Millis(6000)));
    answered = 0;
  }
}

void play(const Play& plan) {
  CAPTURE(plan.seed, plan.machines, plan.lost_answers);
  ConfigurationCluster cluster(plan.seed, plan.machines, plan.terms);
  ConfigurationHistory history(cluster);
  std::vector<ModelOperator> operators(plan.operators, ModelOperator(cluster, history, plan.lost_answers));
  TroubleTerms terms;
  terms.wipes = plan.wipes;
  Troubles<ConfigurationNode> troubles(cluster, terms);
  LongTroubles<ConfigurationNode> long_troubles(cluster);
  SimWorld& world = cluster.world();
  cluster.bootstrap();
  std::int64_t next_trouble_ms = 2500;
  const std::int64_t end_ms = world.now_ms() + plan.duration_ms;
  while (world.now_ms() < end_ms) {
    for (ModelOperator& acting : operators) acting.act();
    world.run_for(Millis(world.random_between(20, 300)));
    if (world.now_ms() < next_trouble_ms) continue;
    if (plan.long_troubles) {
      next_trouble_ms = world.now_ms() + long_troubles.one().count() + world.random_between(0, 3000);
    } else {
      troubles.one();
      next_trouble_ms = world.now_ms() + world.random_between(50, 2500);
    }
  }
  troubles.end();
  world.terms().loss = 0;
  world.terms().late = 0;
  world.run_for(plan.long_troubles ? Millis(30000) : kLongestTrouble);
  REQUIRE(world.run_until([&] { return cluster.settled(); }, kSettled));
  require_found_by_all(cluster, history);
  require_orders_stand(cluster, history);
  REQUIRE(history.taken() > 5);
}

TEST_CASE("cut off, frozen or with a stalled disk for 5 to 30 s: nothing is answered from old state") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Play plan;
    plan.seed = seed;
    plan.machines = seed % 2 == 0 ? 5 : 3;
    plan.long_troubles = true;
    plan.duration_ms = 60000;
    play(plan);
  }
}

TEST_CASE("several operators under one number, with most answers lost") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Play plan;
    plan.seed = seed;
    plan.operators = 3;
    plan.lost_answers = 0.8;
    plan.terms.duplication = 0.1;
    plan.terms.late = 0.05;
    plan.terms.loss = seed % 3 == 0 ? 0.05 : 0;
    play(plan);
  }
}

TEST_CASE("orders are sent again while members lose their disks one after another") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Play plan;
    plan.seed = seed;
    plan.machines = 5;
    plan.wipes = true;
    plan.lost_answers = 0.7;
    plan.terms.duplication = 0.05;
    play(plan);
  }
}

TEST_CASE("contact that is restored gives service back within a second") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    ConfigurationCluster cluster(seed, 5);
    ConfigurationHistory history(cluster);
    SimWorld& world = cluster.world();
    cluster.bootstrap();
    REQUIRE(world.run_until([&] { return cluster.settled(); }, kSettled));
    const std::size_t away = seed % 5;
    const std::size_t other = (away + 1) % 5;
    const auto first = history.order(ConfigurationChangeKind::put, 0, 1);
    bool taken = false;
    history.send(other, first, 0, [&taken](ConfigurationOutcomeKind) { taken = true; });
    REQUIRE(world.run_until([&] { return taken; }, Millis(1000)));
    world.isolate(away);
    world.run_for(Millis(2000));
    CHECK_FALSE(cluster.group(away).in_touch());
    const auto second = history.order(ConfigurationChangeKind::put, 1, 2);
    history.send(other, second, 0);
    world.run_for(Millis(18000));
    REQUIRE(second->taken);
    world.heal();
    const std::int64_t healed_ms = world.now_ms();
    std::optional<std::uint64_t> read;
    // A caller asks again every 100 ms.
    while (!read && world.now_ms() < healed_ms + 1000) {
      history.read(away, [&read](const ConfigurationRead& answer) {
        if (answer.kind == ConfigurationReadKind::found) read = answer.version;
      });
      world.run_for(Millis(100));
    }
    CHECK(read == 2);
    const ConfigurationService& service = cluster.extra(away).service;
    const auto back = [&] {
      return cluster.group(away).in_touch() && service.newest() && service.newest()->version == 2;
    };
    REQUIRE(world.run_until(back, Millis(healed_ms + 1000 - world.now_ms())));
  }
}

}  // namespace
}  // namespace winchhall::cluster::sim
