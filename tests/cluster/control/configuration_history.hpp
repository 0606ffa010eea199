// Simulated operators of a control group, and an independent check of every response that they receive.
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
      : service(node, group.registers(), configuration_dependencies_of(group)) {
    group.watch_register(winchhall::cluster::kConfigurationRegister,
                         [this](const RegisterValue& value) { service.on_register_value(value); });
  }
  ConfigurationService service;
};
using ConfigurationCluster = ControlCluster<ConfigurationNode>;

// One change, which an operator retries until it receives a definite response.
struct OperatorRequest {
  ConfigurationChangeKind kind = ConfigurationChangeKind::put;
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  std::string body;
  bool valid = true;
  // The outcome as far as it is known from the responses.
  bool applied = false;   // acknowledged or read
  bool rejected = false;  // answered as a conflict or as invalid
};

// Checks each response against the earlier ones. Rules: a change is never both applied and rejected; of the
// changes with the same base at most one is applied; no response shows an older version than any response
// before the call; a configuration that is read is one that was sent.
class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(ConfigurationCluster& cluster) : cluster_(cluster) {}

  std::shared_ptr<OperatorRequest> request(ConfigurationChangeKind kind, std::uint64_t base,
                                           std::uint64_t version, bool valid = true) {
    auto request = std::make_shared<OperatorRequest>();
    request->kind = kind;
    request->base = base;
    request->version = version;
    request->valid = valid;
    const std::string name = "r-" + std::to_string(requests_.size() + 1);
    const std::string route = configuration_test::route_json(name, name, valid ? "core" : "unknown");
    request->body =
        kind == ConfigurationChangeKind::put
            ? configuration_test::configuration_json(version, route)
            : R"({"version":)" + std::to_string(version) + R"(,"upsert":{"routes":[)" + route + "]}}";
    requests_.push_back(request);
    return request;
  }

  // Sends a change to one node. `on_response` is called with the outcome, unless the response is lost, which
  // has the probability `response_loss`.
  void send(std::size_t index, const std::shared_ptr<OperatorRequest>& request, double response_loss,
            std::function<void(ConfigurationOutcomeKind)> on_response = {}) {
    if (!cluster_.running(index)) return;
    ConfigurationService& service = cluster_.application(index).service;
    const auto done = [this, request, response_loss, on_response = std::move(on_response),
                       known_version = newest_](const ConfigurationOutcome& outcome) {
      check(*request, outcome, known_version);
      if (on_response && !cluster_.simulation().chance(response_loss)) on_response(outcome.kind);
    };
    const std::string base = std::to_string(request->base);
    if (request->kind == ConfigurationChangeKind::put) return service.put(base, request->body, done);
    service.patch(base, request->body, done);
  }

  void read(std::size_t index, std::function<void(const ConfigurationRead&)> on_response = {}) {
    if (!cluster_.running(index)) return;
    cluster_.application(index).service.get(
        [this, on_response = std::move(on_response), known_version = newest_](const ConfigurationRead& read) {
          check(read, known_version);
          if (on_response) on_response(read);
        });
  }

  std::uint64_t newest() const { return newest_; }
  const std::vector<std::shared_ptr<OperatorRequest>>& requests() const { return requests_; }
  std::size_t applied() const { return applied_by_base_.size(); }

 private:
  void check(OperatorRequest& request, const ConfigurationOutcome& outcome, std::uint64_t known_version) {
    CAPTURE(request.base, request.version, request.body, known_version, outcome.version);
    switch (outcome.kind) {
      case ConfigurationOutcomeKind::applied:
        return record_applied(request);
      case ConfigurationOutcomeKind::conflict:
        REQUIRE_FALSE(request.applied);
        REQUIRE(outcome.version >= known_version);
        REQUIRE(outcome.version != request.base);
        request.rejected = true;
        return;
      case ConfigurationOutcomeKind::invalid:
        REQUIRE_FALSE(request.valid);
        request.rejected = true;
        return;
      case ConfigurationOutcomeKind::unavailable:
        return;
    }
  }
  void check(const ConfigurationRead& read, std::uint64_t known_version) {
    if (read.kind == ConfigurationReadKind::unavailable) return;
    CAPTURE(read.version, known_version, read.json);
    if (read.kind == ConfigurationReadKind::missing) {
      REQUIRE(known_version == 0);
      return;
    }
    REQUIRE(read.version >= known_version);
    for (const auto& request : requests_) {
      const bool put = request->kind == ConfigurationChangeKind::put;
      if (put && request->body == read.json) return record_applied(*request);
    }
    // The configuration was created by one of the patches with this version.
    REQUIRE(std::any_of(requests_.begin(), requests_.end(), [&](const auto& request) {
      return request->version == read.version && request->kind == ConfigurationChangeKind::patch &&
             request->valid;
    }));
    newest_ = std::max(newest_, read.version);
  }
  void record_applied(OperatorRequest& request) {
    REQUIRE(request.valid);
    REQUIRE_FALSE(request.rejected);
    const auto [applied, first] = applied_by_base_.try_emplace(request.base, &request);
    REQUIRE(applied->second == &request);
    request.applied = true;
    newest_ = std::max(newest_, request.version);
  }

  ConfigurationCluster& cluster_;
  std::vector<std::shared_ptr<OperatorRequest>> requests_;
  std::map<std::uint64_t, OperatorRequest*> applied_by_base_;
  std::uint64_t newest_ = 0;  // newest version that was acknowledged or read
};

// An operator that sends a change to random nodes until it receives a definite response, and then makes the
// next change, based on the newest version that it has read or that any operator knows. Several operators
// compete.
class SimulatedOperator {
 public:
  SimulatedOperator(ConfigurationCluster& cluster, ConfigurationHistory& history, double response_loss)
      : cluster_(cluster), history_(history), response_loss_(response_loss) {}

  void act() {
    Simulation& simulation = cluster_.simulation();
    if (!request_) make_request();
    const auto request = request_;
    history_.send(random_node(), request, response_loss_, [this, request](ConfigurationOutcomeKind kind) {
      if (request != request_ || kind == ConfigurationOutcomeKind::unavailable) return;
      request_.reset();
    });
    if (simulation.chance(0.3))
      history_.read(random_node(), [this](const ConfigurationRead& read) {
        if (read.kind == ConfigurationReadKind::found) base_ = read.version;
      });
    if (simulation.chance(0.2) && !history_.requests().empty())
      history_.send(random_node(), random_request(), 0);
  }

 private:
  std::size_t random_node() {
    return static_cast<std::size_t>(
        cluster_.simulation().random_between(0, static_cast<std::int64_t>(cluster_.size()) - 1));
  }
  const std::shared_ptr<OperatorRequest>& random_request() {
    return history_.requests()[cluster_.simulation().random() % history_.requests().size()];
  }
  void make_request() {
    Simulation& simulation = cluster_.simulation();
    const std::uint64_t base = simulation.chance(0.7) ? history_.newest() : base_;
    const auto step = static_cast<std::uint64_t>(simulation.random_between(1, 3));
    // The first change must be a put: a patch of an empty configuration lacks the service that its route
    // names.
    const bool patch = base > 0 && simulation.chance(0.4);
    const bool valid = simulation.chance(0.9);
    request_ = history_.request(patch ? ConfigurationChangeKind::patch : ConfigurationChangeKind::put, base,
                                base + step, valid);
  }

  ConfigurationCluster& cluster_;
  ConfigurationHistory& history_;
  const double response_loss_;
  std::uint64_t base_ = 0;
  std::shared_ptr<OperatorRequest> request_;
};

}  // namespace winchhall::cluster::sim
