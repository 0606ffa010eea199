// Faults that outlast every lease and every call: partitions, freezes and hung disks of 5 to 30 s, one at a
// time.
#pragma once

#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {

template <typename Application>
class LongFaultInjector {
 public:
  explicit LongFaultInjector(ControlCluster<Application>& cluster) : cluster_(cluster) {}

  // Begins one random fault and returns its duration.
  Millis inject_fault() {
    Simulation& simulation = cluster_.simulation();
    const std::size_t index = pick();
    const Millis span(simulation.random_between(5000, 30000));
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
        simulation.node(index).freeze_for(span);
        break;
      case 5:
        simulation.node(index).hang_disk_for(span);
        break;
      default:
        flap(index, span);
    }
    simulation.in(span, [&simulation] { simulation.heal(); });
    return span;
  }

 private:
  std::size_t pick() {
    return static_cast<std::size_t>(
        cluster_.simulation().random_between(0, static_cast<std::int64_t>(cluster_.size()) - 1));
  }
  void cut_one_way(std::size_t index, bool outwards) {
    for (std::size_t other = 0; other < cluster_.size(); ++other) {
      if (other == index) continue;
      cluster_.simulation().cut(outwards ? index : other, outwards ? other : index);
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
  // Partitioned and healed, again and again.
  void flap(std::size_t index, Millis span) {
    Simulation& simulation = cluster_.simulation();
    for (Millis at{0}; at < span; at += Millis(simulation.random_between(300, 2500))) {
      const bool on = simulation.chance(0.6);
      simulation.in(at, [&simulation, index, on] { simulation.isolate(index, on); });
    }
  }

  ControlCluster<Application>& cluster_;
};

}  // namespace winchhall::cluster::sim
