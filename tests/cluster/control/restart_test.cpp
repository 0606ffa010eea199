// Complete control nodes in a simulation: the order of the steps after a restart, and recovery after a crash.
#include <catch2/catch.hpp>

#include "cluster/control/control_node.hpp"
#include "tests/cluster/support/configuration_fixture.hpp"
#include "tests/cluster/support/consensus_fixture.hpp"

using namespace winchhall::cluster;
using namespace winchhall::cluster::sim;

namespace {

constexpr std::size_t kNodes = 3;

struct ControlNodesFixture {
  Simulation simulation;
  std::vector<ControlNode*> nodes = std::vector<ControlNode*>(kNodes);
  bool first_start = true;
  bool drop_chosen_notifications = false;  // if true, RegisterChosen messages are lost

  explicit ControlNodesFixture(std::uint64_t seed) : simulation(seed, SimulationOptions{}) {
    for (std::size_t index = 0; index < kNodes; ++index) {
      simulation.add_node(machine_ip(index) + ":7000", [this, index](SimNode& node) {
        auto control =
            std::make_shared<ControlNode>(node, node.store(), control_settings(index, first_start));
        nodes[index] = control.get();
        control->start();
        return SimNode::Program{control,
                                [this, control](const wire::Envelope& request, const ReplyCallback& reply) {
                                  if (drop_chosen_notifications && request.has_register_chosen()) return true;
                                  return control->handle(request, reply);
                                }};
      });
    }
    start_all();
    first_start = false;
    simulation.run_for(Millis(3000));
  }
  ~ControlNodesFixture() { crash_all(); }

  void start_all() {
    for (std::size_t index = 0; index < kNodes; ++index) simulation.node(index).start();
  }
  void crash_all() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (simulation.node(index).running()) simulation.node(index).crash();
    }
  }
  // A machine without its disk starts at its old address, and has the time to catch up.
  void lose_disk(std::size_t index) {
    simulation.node(index).crash();
    simulation.node(index).lose_disk();
    simulation.run_for(Millis(1000));
    simulation.node(index).start();
    simulation.run_for(Millis(8000));
  }
  // Sends a configuration to one node. The result becomes true once the node has acknowledged it.
  std::shared_ptr<bool> put(std::size_t index, std::uint64_t version, std::uint64_t base) {
    return change(index, "/v1/Config.Put", base, configuration_test::small_configuration(version));
  }
  std::shared_ptr<bool> change(std::size_t index, const std::string& target, std::uint64_t base,
                               const std::string& body) {
    HttpRequest request{boost::beast::http::verb::post, target, 11};
    request.set("X-Winchhall-Base-Version", std::to_string(base));
    request.body() = body;
    auto acknowledged = std::make_shared<bool>(false);
    nodes[index]->handle_http(request, [acknowledged](const HttpResponse& response) {
      *acknowledged = response.result_int() == 200;
    });
    return acknowledged;
  }
  std::uint64_t version_at(std::size_t index) const {
    return nodes[index]->inspection().status().configuration_version;
  }
  bool led(const std::string& service) const {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (nodes[index]->inspection().leadership(service).kind == LeadershipKind::this_node) return true;
    }
    return false;
  }
};

}  // namespace

TEST_CASE("after a power loss service leaders are elected before the configuration is read") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ControlNodesFixture control(seed);
    const auto acknowledged = control.put(0, 5, 0);
    control.simulation.run_for(Millis(3000));
    REQUIRE(*acknowledged);
    REQUIRE(control.led("core"));
    control.crash_all();
    control.simulation.run_for(Millis(1500));
    control.start_all();
    Millis passed{0};
    while (!control.led("core") && passed < Millis(3000)) {
      control.simulation.run_for(Millis(5));
      passed += Millis(5);
    }
    CAPTURE(seed, passed.count());
    CHECK(passed < Millis(400));
    for (std::size_t index = 0; index < kNodes; ++index) CHECK(control.version_at(index) == 0);
    control.simulation.run_for(Millis(600));
    for (std::size_t index = 0; index < kNodes; ++index) CHECK(control.version_at(index) == 5);
  }
}

TEST_CASE("a version acknowledged by a crashed node is known to the others within a second") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    ControlNodesFixture control(seed);
    control.put(0, 5, 0);
    control.simulation.run_for(Millis(3000));
    control.drop_chosen_notifications = true;
    const auto acknowledged = control.put(1, 7, 5);
    while (!*acknowledged) control.simulation.run_for(Millis(1));
    control.simulation.node(1).crash();
    REQUIRE(control.version_at(0) == 5);
    REQUIRE(control.version_at(2) == 5);
    control.simulation.run_for(Millis(1000));
    CAPTURE(seed);
    CHECK(control.version_at(0) == 7);
    CHECK(control.version_at(2) == 7);
  }
}

// Guards against lost jobs: a node that got the shard of a removed service by state transfer never led it.
TEST_CASE("a removed service is led after every control node has lost its disk") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    ControlNodesFixture control(seed);
    control.put(0, 5, 0);
    control.simulation.run_for(Millis(3000));
    REQUIRE(control.led("fraud"));
    const auto removed =
        control.change(0, "/v1/Config.Patch", 5, R"({"version":6,"delete":{"services":["fraud"]}})");
    control.simulation.run_for(Millis(1000));
    REQUIRE(*removed);
    for (std::size_t index = 0; index < kNodes; ++index) {
      CAPTURE(index);
      control.lose_disk(index);
      CHECK(control.led("fraud"));
      CHECK(control.led("core"));
    }
  }
}
