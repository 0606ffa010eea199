// Persistent map from account numbers to ranges and their holders.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::ranges {

// View of one range of a map. Valid as long as the map it came from.
struct RangeView {
  RangeId id = 0;
  Span span{};
  double weight = 0;
  const HoldersPtr* holders = nullptr;
};

// One revision of the map. Immutable apart from assignment: changes return a new map. A copy costs one
// pointer and does not change with later revisions, so that a query keeps the revision it was planned under.
//
// A persistent B+ tree: a change copies the nodes on the path from the root to its range and shares all
// others with the previous revision (path copying: Driscoll, Sarnak, Sleator, Tarjan, "Making data structures
// persistent", 1989; wide nodes after Bayer and McCreight, 1972). The keys of a node are contiguous, so a
// look-up touches a few cache lines in each of log_32 n nodes.
//
// Not synchronised: an object may be shared between threads only while none of them modifies it.
class RangeMap {
 public:
  RangeMap() = default;  // empty: revision 0.0, no ranges

  // Builds a map from all its ranges, in any order. Returns none, with the reason in `fault`, unless the
  // spans cover [0, kKeyEnd) without gap or overlap, weights are finite and above 0, each range has a serving
  // holder and no server twice, and ids are unique.
  static std::optional<RangeMap> build(Revision revision, std::vector<Range> ranges, std::string& fault);

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }
  Revision revision() const { return revision_; }
  RangeId next_id() const { return next_id_; }  // greater than any id used so far
  std::size_t depth() const { return depth_; }  // levels of nodes
  std::size_t bytes() const;  // memory of this revision's nodes, including those shared with others

  // The range that contains the key, which must be below kKeyEnd; the map must not be empty.
  RangeView find(Key key) const;
  // Calls `visit` for each range that overlaps the span, in order, until it returns false.
  void visit(const Span& span, const std::function<bool(const RangeView&)>& visit) const;
  // All ranges in order of their keys.
  std::vector<Range> all() const;

  // Primitives of change.cpp, which validates their arguments. Each returns a new map.
  struct Entry {
    RangeId id = 0;
    double weight = 0;
    HoldersPtr holders{};
  };
  // Replaces the range that begins at `from`, or splits the one that contains it there.
  RangeMap with_range(Key from, const Entry& entry) const;
  // Removes the range that begins at `from`; the range before it is extended over its keys.
  RangeMap without_range(Key from) const;
  // The same ranges under another revision.
  RangeMap with_revision(Revision revision, RangeId next_id) const;

  struct Node;
  using Ptr = std::shared_ptr<const Node>;

 private:
  Ptr root_;
  std::size_t size_ = 0, depth_ = 0;
  Revision revision_{};
  RangeId next_id_ = 0;
};

// Why the holders of a range are invalid: too many, an unfit name, a server twice, or none that serves.
// Empty: they are valid.
std::string holders_fault(const Holders& holders);

}  // namespace winchhall::ranges
