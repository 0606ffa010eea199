// Faults that last longer than every lease and every call: partitions, freezes and hung disks of 5 to 30 s,
// one at a time.
#pragma once

#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {

template <typename Application>
class LongFaultInjector {
 public:
  explicit LongFaultInjector(ControlCluster<Application>& cluster) : cluster_(cluster) {}

  // Starts one random fault and returns its duration.
  Millis inject_fault() {
    Simulation& simulation = cluster_.simulation();
    const std::size_t index = random_machine();
    const Millis duration(simulation.random_between(5000, 30000));
    switch (simulation.random_between(0, 6)) {
      case 0:
        simulation.isolate(index);
        break;
      case 1:
        cut_one_way(index, true);
        break;
      case 2:
        cut_one_way(index, false);
        break;
      case 3:
        split();
        break;
      case 4:
        simulation.node(index).freeze_for(duration);
        break;
      case 5:
        simulation.node(index).hang_disk_for(duration);
        break;
      default:
        flap(index, duration);
    }
    simulation.in(duration, [&simulation] { simulation.heal(); });
    return duration;
  }

 private:
  std::size_t random_machine() {
    return static_cast<std::size_t>(
        cluster_.simulation().random_between(0, static_cast<std::int64_t>(cluster_.size()) - 1));
  }
  void cut_one_way(std::size_t index, bool outbound) {
    for (std::size_t other = 0; other < cluster_.size(); ++other) {
      if (other == index) continue;
      cluster_.simulation().cut(outbound ? index : other, outbound ? other : index);
    }
  }
  void split() {
    std::vector<bool> side(cluster_.size());
    for (std::size_t index = 0; index < side.size(); ++index) side[index] = cluster_.simulation().chance(0.5);
    for (std::size_t left = 0; left < side.size(); ++left) {
      for (std::size_t right = left + 1; right < side.size(); ++right) {
        if (side[left] != side[right]) cluster_.simulation().cut_both(left, right);
      }
    }
  }
  // Partitions and reconnects a machine repeatedly.
  void flap(std::size_t index, Millis duration) {
    Simulation& simulation = cluster_.simulation();
    for (Millis at{0}; at < duration; at += Millis(simulation.random_between(300, 2500))) {
      const bool isolated = simulation.chance(0.6);
      simulation.in(at, [&simulation, index, isolated] { simulation.isolate(index, isolated); });
    }
  }

  ControlCluster<Application>& cluster_;
};

}  // namespace winchhall::cluster::sim
