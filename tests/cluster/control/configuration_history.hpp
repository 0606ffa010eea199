// Operators of a simulated control group, and an independent check of every answer that any of them saw.
#pragma once

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/control/control_node.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {

// The configuration service of one control node, as ControlNode has it.
struct ConfigurationNode {
  ConfigurationNode(SimNode& node, ControlGroup& group)
      : service(node, group.registers(), surroundings_of(group)) {
    group.watch_register(winchhall::cluster::kConfigurationRegister,
                         [this](const RegisterValue& value) { service.on_register_value(value); });
  }
  ConfigurationService service;
};
using ConfigurationCluster = ControlCluster<ConfigurationNode>;

// One order, as an operator sends it again and again.
struct OperatorOrder {
  ConfigurationChangeKind kind = ConfigurationChangeKind::put;
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  std::string body;
  bool valid = true;
  // What is known of it so far.
  bool taken = false;    // acknowledged, or seen in force
  bool refused = false;  // answered with a conflict or as invalid
};

// Checks answers against what was answered before. Rules: an order is taken or refused, never both; of two
// orders on one base one is taken; no answer, and no refusal, shows an older state than was known to anyone
// before the call; what is read is what was sent.
class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(ConfigurationCluster& cluster) : cluster_(cluster) {}

  std::shared_ptr<OperatorOrder> order(ConfigurationChangeKind kind, std::uint64_t base,
                                       std::uint64_t version, bool valid = true) {
    auto order = std::make_shared<OperatorOrder>();
    order->kind = kind;
    order->base = base;
    order->version = version;
    order->valid = valid;
    const std::string name = "r-" + std::to_string(orders_.size() + 1);
    const std::string route = configuration_test::route_json(name, name, valid ? "core" : "unknown");
    order->body =
        kind == ConfigurationChangeKind::put
            ? configuration_test::configuration_json(version, route)
            : R"({"version":)" + std::to_string(version) + R"(,"upsert":{"routes":[)" + route + "]}}";
    orders_.push_back(order);
    return order;
  }

  // Sends an order by way of one node. `told` gets the answer, unless it is lost on its way.
  void send(std::size_t index, const std::shared_ptr<OperatorOrder>& order, double lost,
            std::function<void(ConfigurationOutcomeKind)> told = {}) {
    if (!cluster_.running(index)) return;
    ConfigurationService& service = cluster_.extra(index).service;
    const auto done = [this, order, lost, told = std::move(told),
                       known = newest_](const ConfigurationOutcome& outcome) {
      check(*order, outcome, known);
      if (told && !cluster_.world().chance(lost)) told(outcome.kind);
    };
    const std::string base = std::to_string(order->base);
    if (order->kind == ConfigurationChangeKind::put) return service.put(base, order->body, done);
    service.patch(base, order->body, done);
  }

  void read(std::size_t index, std::function<void(const ConfigurationRead&)> told = {}) {
    if (!cluster_.running(index)) return;
    cluster_.extra(index).service.get(
        [this, told = std::move(told), known = newest_](const ConfigurationRead& read) {
          check(read, known);
          if (told) told(read);
        });
  }

  std::uint64_t newest() const { return newest_; }
  const std::vector<std::shared_ptr<OperatorOrder>>& orders() const { return orders_; }
  std::size_t taken() const { return by_base_.size(); }

 private:
  void check(OperatorOrder& order, const ConfigurationOutcome& outcome, std::uint64_t known) {
    CAPTURE(order.base, order.version, order.body, known, outcome.version);
    switch (outcome.kind) {
      case ConfigurationOutcomeKind::applied:
        return note_taken(order);
      case ConfigurationOutcomeKind::conflict:
        REQUIRE_FALSE(order.taken);
        REQUIRE(outcome.version >= known);
        REQUIRE(outcome.version != order.base);
        order.refused = true;
        return;
      case ConfigurationOutcomeKind::invalid:
        REQUIRE_FALSE(order.valid);
        order.refused = true;
        return;
      case ConfigurationOutcomeKind::unavailable:
        return;
    }
  }
  void check(const ConfigurationRead& read, std::uint64_t known) {
    if (read.kind == ConfigurationReadKind::unavailable) return;
    CAPTURE(read.version, known, read.json);
    if (read.kind == ConfigurationReadKind::missing) {
      REQUIRE(known == 0);
      return;
    }
    REQUIRE(read.version >= known);
    for (const auto& order : orders_) {
      const bool put = order->kind == ConfigurationChangeKind::put;
      if (put && order->body == read.json) return note_taken(*order);
    }
    // Made by a patch: one of the orders for this version.
    REQUIRE(std::any_of(orders_.begin(), orders_.end(), [&](const auto& order) {
      return order->version == read.version && order->kind == ConfigurationChangeKind::patch && order->valid;
    }));
    newest_ = std::max(newest_, read.version);
  }
  void note_taken(OperatorOrder& order) {
    REQUIRE(order.valid);
    REQUIRE_FALSE(order.refused);
    const auto [taken, first] = by_base_.try_emplace(order.base, &order);
    REQUIRE(taken->second == &order);
    order.taken = true;
    newest_ = std::max(newest_, order.version);
  }

  ConfigurationCluster& cluster_;
  std::vector<std::shared_ptr<OperatorOrder>> orders_;
  std::map<std::uint64_t, OperatorOrder*> by_base_;
  std::uint64_t newest_ = 0;  // acknowledged, or read by anyone
};

// An operator: sends an order to any node until it is told something clear, then makes the next one. Goes on
// from what it was told or read; several operators race.
class ModelOperator {
 public:
  ModelOperator(ConfigurationCluster& cluster, ConfigurationHistory& history, double lost_answers)
      : cluster_(cluster), history_(history), lost_answers_(lost_answers) {}

  void act() {
    SimWorld& world = cluster_.world();
    if (!order_) make_order();
    const auto order = order_;
    history_.send(any_node(), order, lost_answers_, [this, order](ConfigurationOutcomeKind kind) {
      if (order != order_ || kind == ConfigurationOutcomeKind::unavailable) return;
      order_.reset();
    });
    if (world.chance(0.3))
      history_.read(any_node(), [this](const ConfigurationRead& read) {
        if (read.kind == ConfigurationReadKind::found) base_ = read.version;
      });
    if (world.chance(0.2) && !history_.orders().empty()) history_.send(any_node(), any_order(), 0);
  }

 private:
  std::size_t any_node() {
    return static_cast<std::size_t>(
        cluster_.world().random_between(0, static_cast<std::int64_t>(cluster_.size()) - 1));
  }
  const std::shared_ptr<OperatorOrder>& any_order() {
    return history_.orders()[cluster_.world().random() % history_.orders().size()];
  }
  void make_order() {
    SimWorld& world = cluster_.world();
    const std::uint64_t base = world.chance(0.7) ? history_.newest() : base_;
    const auto step = static_cast<std::uint64_t>(world.random_between(1, 3));
    // A patch of nothing has no services to name.
    const bool patch = base > 0 && world.chance(0.4);
    const bool valid = world.chance(0.9);
    order_ = history_.order(patch ? ConfigurationChangeKind::patch : ConfigurationChangeKind::put, base,
                            base + step, valid);
  }

  ConfigurationCluster& cluster_;
  ConfigurationHistory& history_;
  const double lost_answers_;
  std::uint64_t base_ = 0;
  std::shared_ptr<OperatorOrder> order_;
};

}  // namespace winchhall::cluster::sim
