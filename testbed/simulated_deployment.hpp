// The ledger's layout as it really is: the directory's map and its history, which node has the data of which
// accounts, and a seeded schedule of reshuffles. No I/O; the time is told.
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
  Millis copy_time = 600;       // ms from a holder's begin to copy until it serves
  Millis leave_time = 600;      // ms from a holder's retirement until it is removed
  Millis handover_time = 1500;  // ms that a removed holder still has the data
  std::size_t splits = 3, merges = 3, moves = 3, weight_changes = 2;  // in one reshuffle
};

class SimulatedDeployment {
 public:
  SimulatedDeployment(std::uint64_t seed, const SimulatedDeploymentOptions& options, Millis now);

  static std::string node_name(std::size_t node) { return "node-" + std::to_string(node); }

  const ranges::RangeMap& map() const { return map_; }
  // One reshuffle: what of it can be done now is done, the rest of its moves follows by due().
  void reshuffle(Millis now);
  void run_due_steps(Millis now);
  // Changes after this revision, oldest first; nothing where they are not kept any more.
  std::optional<std::vector<ranges::Change>> changes_after(std::uint64_t number) const;
  // The directory as it was at that time, for nodes that hear late.
  const ranges::RangeMap& map_at(Millis when) const;
  const std::deque<std::pair<Millis, ranges::RangeMap>>& history() const { return history_; }

  bool has_data(std::size_t node, const ranges::Span& span) const {
    return data_by_node_[node].contains(span);
  }

  struct Counts {
    std::size_t splits = 0, merges = 0, moves = 0, weight_changes = 0, refused = 0;
  };
  const Counts& counts() const { return counts_; }
  // Begins to count anew, as a directory that has lost its memory.
  void new_incarnation(Millis now);

 private:
  struct Step {
    Millis at = 0;
    enum class Kind { promote, remove, drop } kind = Kind::promote;
    std::size_t node = 0;
    ranges::Span span{};
    std::string retire{};  // promote: who leaves in exchange
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
  std::vector<ranges::Change> changes_;  // of this incarnation, from its begin
  std::deque<std::pair<Millis, ranges::RangeMap>> history_;
  std::vector<ranges::SpanSet> data_by_node_;
  std::vector<Step> steps_;
  Counts counts_;
  std::uint64_t first_number_ = 1;
};

}  // namespace winchhall::testbed
