// The map from account numbers to ranges and their holders, in immutable revisions.
//
// A copy of a RangeMap is one pointer and stays as it was whatever comes later, so that a query pins the
// revision that it was planned under. A change copies the nodes on the way from the root to its range and
// shares all others with the revision before: a persistent B+ tree (path copying: Driscoll, Sarnak, Sleator,
// Tarjan, "Making data structures persistent", 1989; wide nodes after Bayer and McCreight, 1972). Keys stand
// side by side in each node, so a look-up touches a few cache lines of each of log_32 n nodes.
//
// Not synchronised: share between threads only what nobody changes.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::ranges {

// What stands at one place of the key space, without copying it. Valid as long as the map it came from.
struct RangeView {
  RangeId id = 0;
  Span span{};
  double weight = 0;
  const HoldersPtr* holders = nullptr;
};

class RangeMap {
 public:
  RangeMap() = default;  // empty: no revision, no range

  // The whole map, checked: spans that begin at 0, follow each other without gap or overlap and end at
  // kKeyEnd, finite weights above 0, a serving holder each, no server twice in a range, ids once. Nothing and
  // a reason in `fault` where that doesn't hold. `ranges` in any order.
  static std::optional<RangeMap> build(Revision revision, std::vector<Range> ranges, std::string& fault);

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  Revision revision() const { return revision_; }
  RangeId next_id() const { return next_id_; }  // every id used so far is below it
  std::size_t depth() const { return depth_; }
  std::size_t bytes() const;  // held by the nodes of this revision, shared ones included

  RangeView find(Key key) const;  // key below kKeyEnd, the map not empty
  // Each range that overlaps the span, in order; `visit` returns false to end.
  void visit(const Span& span, const std::function<bool(const RangeView&)>& visit) const;
  std::vector<Range> all() const;

  // ---- For changes (change.cpp), which check first. Each gives a new map and leaves this one as it is.
  struct Entry {
    RangeId id = 0;
    double weight = 0;
    HoldersPtr holders{};
  };
  RangeMap with_range(Key from, const Entry& entry) const;  // puts or replaces the range that begins there
  RangeMap without_range(Key from) const;                   // the range before it then reaches up to its end
  RangeMap with_revision(Revision revision, RangeId next_id) const;

  struct Node;
  using Ptr = std::shared_ptr<const Node>;

 private:
  Ptr root_;
  std::size_t size_ = 0, depth_ = 0;
  Revision revision_{};
  RangeId next_id_ = 0;
};

// Empty where holders are sound, else what is wrong with them.
std::string holders_fault(const Holders& holders);

}  // namespace winchhall::ranges
