// Blocking calls on a simulated control group: each runs the simulation until the answer or a time-out.
#pragma once

#include <optional>
#include <string>

#include "tests/cluster/support/consensus_fixture.hpp"

namespace winchhall::cluster::sim {

inline bool wait_until_stable(ControlCluster<>& cluster, Millis limit) {
  return cluster.simulation().run_until([&] { return cluster.is_stable(); }, limit);
}

// Appends to the test's register through one node. Returns false if there was no answer in time.
inline bool append(ControlCluster<>& cluster, std::size_t index, const std::string& marker) {
  bool ended = false;
  bool chosen = false;
  cluster.group(index).registers().update(
      "list", [marker](const std::string& current) { return current + marker; }, Millis(3000),
      [&](const std::optional<RegisterValue>& value) {
        ended = true;
        chosen = value.has_value();
      });
  cluster.simulation().run_until([&] { return ended; }, Millis(3500));
  return chosen;
}

// The register's newest value; "no answer" where no majority answered in time.
inline std::string read(ControlCluster<>& cluster, std::size_t index) {
  bool ended = false;
  std::string found;
  cluster.group(index).registers().update(
      "list", [](const std::string&) { return std::nullopt; }, Millis(4000),
      [&](const std::optional<RegisterValue>& value) {
        ended = true;
        found = value ? value->value : "no answer";
      });
  cluster.simulation().run_until([&] { return ended; }, Millis(4500));
  return found;
}

}  // namespace winchhall::cluster::sim
