// A simulated control group: machines that each run a ControlGroup, and an injector of random faults.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/control_group.hpp"
#include "tests/cluster/support/sim_runtime.hpp"

namespace winchhall::cluster::sim {

inline std::string machine_ip(std::size_t index) { return "10.0.0." + std::to_string(index + 1); }

inline NodeSettings control_settings(std::size_t index, bool bootstrap) {
  NodeSettings settings;
  settings.node_name = "core-" + std::to_string(index);
  settings.ip = machine_ip(index);
  settings.zone = "zone-" + std::to_string(index % 3);
  settings.internal_port_first = 7000;
  settings.internal_port_last = 7015;
  settings.control = machine_ip(index) + ":8000";
  for (std::size_t seed = 0; seed < 3; ++seed) settings.seeds.push_back(machine_ip(seed) + ":8000");
  settings.bootstrap = bootstrap;
  settings.counts_for_quorum = true;
  return settings;
}

// The program of one machine. `Application` uses the group: it is constructed after the group and destroyed
// before it.
template <typename Application>
struct ControlProgram {
  ControlProgram(SimNode& node, const NodeSettings& settings)
      : group(node, node.store(), settings), application(node, group) {
    group.start();
  }
  ControlGroup group;
  Application application;
};

// For machines on which only the group runs.
struct NoApplication {
  NoApplication(SimNode&, ControlGroup&) {}
};

// Owns the simulation and the programs of its machines.
template <typename Application = NoApplication>
class ControlCluster {
 public:
  ControlCluster(std::uint64_t seed, std::size_t machines, SimulationOptions options = {})
      : simulation_(seed, options), programs_(64) {
    for (std::size_t index = 0; index < machines; ++index) add_machine();
  }
  ~ControlCluster() { crash_all(); }

  Simulation& simulation() { return simulation_; }
  std::size_t size() const { return simulation_.size(); }
  SimNode& node(std::size_t index) { return simulation_.node(index); }
  bool running(std::size_t index) { return simulation_.node(index).running(); }
  ControlGroup& group(std::size_t index) { return programs_.at(index)->group; }
  Application& application(std::size_t index) { return programs_.at(index)->application; }

  // Simulates a machine of an earlier version: its pings and answers to pings don't announce that it knows
  // learners. It admits no machines, because it would have to do so by the rules of that version.
  void mark_without_learners(std::size_t index) { without_learners_.insert(machine_ip(index) + ":7000"); }

  // From now on machines start with seeds that are running, as if the operators kept the list up to date.
  void use_fresh_seeds() { fresh_seeds_ = true; }

  std::size_t add_machine() {
    const std::size_t index = simulation_.size();
    simulation_.add_node(machine_ip(index) + ":7000", [this, index](SimNode& node) {
      auto program = std::make_shared<ControlProgram<Application>>(node, settings_now(index));
      programs_[index] = program.get();
      ControlGroup& group = program->group;
      return SimNode::Program{
          program, [this, index, &group](const wire::Envelope& request, const ReplyCallback& reply) {
            if (without_learners_.empty()) return group.handle(request, reply);
            return handle_with_versions(index, request, reply);
          }};
    });
    return index;
  }

  // All machines start for the first time, in any order within 0.3 s.
  void bootstrap() {
    first_start_ = true;
    for (std::size_t index = 0; index < size(); ++index) {
      simulation_.in(Millis(simulation_.random_between(0, 300)),
                     [this, index] { simulation_.node(index).start(); });
    }
    simulation_.run_for(Millis(301));
    first_start_ = false;
  }
  void start(std::size_t index) {
    if (!running(index)) simulation_.node(index).start();
  }
  void crash(std::size_t index) {
    if (running(index)) simulation_.node(index).crash();
  }
  void crash_all() {
    for (std::size_t index = 0; index < size(); ++index) crash(index);
  }
  void start_all() {
    for (std::size_t index = 0; index < size(); ++index) start(index);
  }
  // Restarts the machine immediately with an empty disk.
  void wipe(std::size_t index) {
    crash(index);
    simulation_.node(index).lose_disk();
    start(index);
  }

  bool is_member(std::size_t index) {
    if (!running(index)) return false;
    for (const wire::Member& member : group(index).members().members()) {
      if (member.id() == group(index).member_id()) return true;
    }
    return false;
  }
  // True if every running machine votes and all of them know the same record, whose members are exactly these
  // machines.
  bool is_stable() {
    std::size_t machines = 0;
    std::uint64_t epoch = 0;
    for (std::size_t index = 0; index < size(); ++index) {
      if (!running(index)) continue;
      ++machines;
      if (node(index).frozen() || !is_member(index)) return false;
      if (!group(index).votes() || !group(index).has_quorum_contact()) return false;
      if (epoch == 0) epoch = group(index).members().epoch();
      if (epoch != group(index).members().epoch()) return false;
    }
    for (std::size_t index = 0; index < size(); ++index) {
      if (running(index) && static_cast<std::size_t>(group(index).members().members_size()) != machines)
        return false;
    }
    return machines > 0;
  }

 private:
  bool handle_with_versions(std::size_t index, wire::Envelope request, const ReplyCallback& reply) {
    if (request.has_member_ping() && without_learners_.contains(request.member_ping().address()))
      request.mutable_member_ping()->clear_knows_learners();
    if (!without_learners_.contains(machine_ip(index) + ":7000"))
      return programs_[index]->group.handle(request, reply);
    if (request.has_join_request()) request.mutable_join_request()->clear_candidate();
    return programs_[index]->group.handle(request, [reply](wire::Envelope answer) {
      if (answer.has_member_ping()) answer.mutable_member_ping()->clear_knows_learners();
      reply(std::move(answer));
    });
  }
  NodeSettings settings_now(std::size_t index) {
    NodeSettings settings = control_settings(index, first_start_);
    std::vector<Address> up;
    for (std::size_t other = 0; other < size(); ++other) {
      if (other != index && running(other)) up.push_back(machine_ip(other) + ":8000");
    }
    constexpr std::size_t kSeeds = 3;
    if (!fresh_seeds_ || first_start_ || up.empty()) return settings;
    std::shuffle(up.begin(), up.end(), std::mt19937_64(simulation_.random()));
    up.resize(std::min(up.size(), kSeeds));
    settings.seeds = up;
    return settings;
  }

  Simulation simulation_;
  std::vector<ControlProgram<Application>*> programs_;
  bool first_start_ = false;
  bool fresh_seeds_ = false;
  std::set<Address> without_learners_;
};

// The kinds of faults that may be injected.
struct FaultPlan {
  bool crashes = true;
  bool power_loss = true;
  bool freezes = true;
  bool partitions = true;
  bool disk_faults = true;
  bool disk_losses = false;  // one at a time: the next one only after the previous machine votes again
};

// Every fault ends within this time after its start.
constexpr Millis kMaxFaultDuration{4000};

// Injects random faults into a cluster and ends them.
template <typename Application>
class FaultInjector {
 public:
  FaultInjector(ControlCluster<Application>& cluster, FaultPlan plan) : cluster_(cluster), plan_(plan) {}

  // Starts one random fault, or none if its kind is not in the plan.
  void inject_fault() {
    Simulation& simulation = cluster_.simulation();
    const auto index = static_cast<std::size_t>(
        simulation.random_between(0, static_cast<std::int64_t>(cluster_.size()) - 1));
    switch (simulation.random_between(0, 9)) {
      case 0:
      case 1:
        if (plan_.crashes) return crash(index);
        break;
      case 2:
        if (plan_.power_loss && simulation.chance(0.3)) return lose_power();
        break;
      case 3:
      case 4:
        if (plan_.freezes) simulation.node(index).freeze_for(Millis(simulation.random_between(50, 4000)));
        break;
      case 5:
      case 6:
        if (plan_.partitions) return cut(index);
        break;
      case 7:
        if (plan_.disk_faults)
          simulation.node(index).hang_disk_for(Millis(simulation.random_between(50, 3000)));
        break;
      case 8:
        if (plan_.disk_faults) return refuse_writes(index);
        break;
      default:
        if (plan_.disk_losses) wipe(index);
    }
  }

  // Heals the network and the disks, and starts all machines.
  void end_faults() {
    cluster_.simulation().heal();
    for (std::size_t index = 0; index < cluster_.size(); ++index) cluster_.node(index).refuse_writes(false);
    cluster_.start_all();
  }

 private:
  void crash(std::size_t index) {
    cluster_.crash(index);
    start_later(index);
  }
  void start_later(std::size_t index) {
    Simulation& simulation = cluster_.simulation();
    simulation.in(Millis(simulation.random_between(1, 2500)), [this, index] { cluster_.start(index); });
  }
  void lose_power() {
    cluster_.crash_all();
    for (std::size_t index = 0; index < cluster_.size(); ++index) start_later(index);
  }
  void cut(std::size_t index) {
    Simulation& simulation = cluster_.simulation();
    const std::int64_t kind = simulation.random_between(0, 2);
    const auto other = static_cast<std::size_t>(
        simulation.random_between(0, static_cast<std::int64_t>(cluster_.size()) - 1));
    if (kind == 0) {
      simulation.isolate(index);
    } else if (kind == 1) {
      simulation.cut(index, other);
    } else {
      split();
    }
    simulation.in(Millis(simulation.random_between(100, 4000)), [&simulation] { simulation.heal(); });
  }
  void split() {
    Simulation& simulation = cluster_.simulation();
    std::vector<bool> side(cluster_.size());
    for (std::size_t index = 0; index < side.size(); ++index) side[index] = simulation.chance(0.5);
    for (std::size_t left = 0; left < side.size(); ++left) {
      for (std::size_t right = left + 1; right < side.size(); ++right) {
        if (side[left] != side[right]) simulation.cut_both(left, right);
      }
    }
  }
  void refuse_writes(std::size_t index) {
    Simulation& simulation = cluster_.simulation();
    simulation.node(index).refuse_writes(true);
    simulation.in(Millis(simulation.random_between(10, 2000)),
                  [&simulation, index] { simulation.node(index).refuse_writes(false); });
  }
  void wipe(std::size_t index) {
    if (last_wiped_ && !(cluster_.running(*last_wiped_) && cluster_.group(*last_wiped_).votes())) return;
    if (!cluster_.running(index) || !cluster_.group(index).votes()) return;
    cluster_.wipe(index);
    last_wiped_ = index;
  }

  ControlCluster<Application>& cluster_;
  const FaultPlan plan_;
  std::optional<std::size_t> last_wiped_;
};

}  // namespace winchhall::cluster::sim
