// A set of keys, represented by sorted half-open intervals.
#pragma once

#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::ranges {

// Operations take at most linear time in the number of intervals: a query has a few dozen at most.
class SpanSet {
 public:
  SpanSet() = default;
  explicit SpanSet(const std::vector<Span>& spans) {
    for (const Span& s : spans) add(s);
  }

  // Adds or removes all keys of the span; an empty span has no effect.
  void add(const Span& span);
  void remove(const Span& span);
  bool contains(const Span& span) const;  // every key of it; any set contains an empty span
  bool overlaps(const Span& span) const;  // at least one key of it
  bool empty() const { return spans_.empty(); }
  Key size() const;                           // number of keys
  SpanSet minus(const SpanSet& other) const;  // the keys that are not in `other`
  // The intervals, in ascending order.
  const std::vector<Span>& spans() const { return spans_; }
  bool operator==(const SpanSet&) const = default;

 private:
  std::vector<Span> spans_;  // sorted, none empty, none adjacent to the next
};

// Validates the spans of a client's query: within [0, 2^53), in any order, at least one and at most
// `max_spans`, none empty, none overlapping another. Returns why they are invalid; empty: they are valid.
std::string spans_fault(const std::vector<Span>& spans, std::size_t max_spans);

}  // namespace winchhall::ranges
