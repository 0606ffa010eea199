// The true layout of the simulated ledger: the directory's range map with its history, which node has the
// data of which accounts, and a seeded schedule of reshuffles. No I/O; the caller passes the time in ms.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "aggregator/ranges/change.hpp"
#include "aggregator/ranges/spans.hpp"
#include "testbed/random.hpp"

namespace winchhall::testbed {

using Millis = double;

struct SimulatedDeploymentOptions {
  std::size_t nodes = 20, ranges = 60;
  std::size_t min_ranges = 40, max_ranges = 110;
  Millis copy_time = 600;       // from the start of a holder's copy until it serves
  Millis leave_time = 600;      // from a holder's retirement until it is removed
  Millis handover_time = 1500;  // a removed holder still has the data this long
  std::size_t splits = 3, merges = 3, moves = 3, weight_changes = 2;  // in one reshuffle
};

// Owns the map, its history and the pending steps of moves.
class SimulatedDeployment {
 public:
  SimulatedDeployment(std::uint64_t seed, const SimulatedDeploymentOptions& options, Millis now);

  static std::string node_name(std::size_t node) { return "node-" + std::to_string(node); }

  const ranges::RangeMap& map() const { return map_; }
  // Starts one reshuffle. Splits, merges and weights change at once; moves are completed by run_due_steps().
  void reshuffle(Millis now);
  void run_due_steps(Millis now);
  // Changes after this revision number, oldest first; nullopt if they are no longer kept.
  std::optional<std::vector<ranges::Change>> changes_after(std::uint64_t number) const;
  // The map as it was at that time, for nodes and watches that learn late of changes.
  const ranges::RangeMap& map_at(Millis when) const;
  const std::deque<std::pair<Millis, ranges::RangeMap>>& history() const { return history_; }

  bool has_data(std::size_t node, const ranges::Span& span) const {
    return data_by_node_[node].contains(span);
  }

  struct Counts {
    std::size_t splits = 0, merges = 0, moves = 0, weight_changes = 0, refused = 0;
  };
  const Counts& counts() const { return counts_; }
  // Restarts the revision numbers in a new incarnation, as a directory that has lost its state does.
  void new_incarnation(Millis now);

 private:
  struct Step {
    Millis at = 0;
    enum class Kind { promote, remove, drop } kind = Kind::promote;
    std::size_t node = 0;
    ranges::Span span{};
    std::string retire{};  // promote: the holder that retires in exchange; may be empty
  };
  bool apply(const ranges::Change& change, Millis now);
  ranges::RangeView random_range();
  void split(Millis now);
  void merge(Millis now);
  void move(Millis now);
  void carry_out(const Step& step, Millis now);
  void drop_data(std::size_t node, const ranges::Span& span);

  SimulatedDeploymentOptions options_;
  Random random_;
  ranges::RangeMap map_;
  std::vector<ranges::Change> changes_;  // all of this incarnation
  std::deque<std::pair<Millis, ranges::RangeMap>> history_;
  std::vector<ranges::SpanSet> data_by_node_;
  std::vector<Step> steps_;
  Counts counts_;
  std::uint64_t first_number_ = 1;
};

}  // namespace winchhall::testbed
