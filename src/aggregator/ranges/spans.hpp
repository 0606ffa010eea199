// A set of keys, kept as half-open intervals in order: for a query, a few dozen at most.
#pragma once

#include <string>
#include <vector>

#include "aggregator/ranges/types.hpp"

namespace winchhall::ranges {

class SpanSet {
 public:
  SpanSet() = default;
  explicit SpanSet(const std::vector<Span>& spans) {
    for (const Span& s : spans) add(s);
  }

  void add(const Span& span);
  void remove(const Span& span);
  bool contains(const Span& span) const;  // all of it; an empty span is in any set
  bool overlaps(const Span& span) const;
  bool empty() const { return spans_.empty(); }
  Key size() const;
  SpanSet minus(const SpanSet& other) const;
  const std::vector<Span>& spans() const { return spans_; }
  bool operator==(const SpanSet&) const = default;

 private:
  std::vector<Span> spans_;  // in order, none empty, none touching the next
};

// What a client asks for. Empty if it can be served: spans within [0, 2^53), none empty, in any order, none
// overlapping another, at most `most` of them. Else what is wrong.
std::string spans_fault(const std::vector<Span>& spans, std::size_t most);

}  // namespace winchhall::ranges
