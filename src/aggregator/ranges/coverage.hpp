// What of a query's spans is in, out, or to be asked (again). Everything is counted on intervals and never on
// parts: parts come and go as ranges split and merge, the spans of a query don't.
//
// Weights are those of the revision that the query was planned under. A class's least share means a share of
// what the client asked for; weights that shift while the query runs must not move that mark.
#pragma once

#include <vector>

#include "aggregator/ranges/spans.hpp"

namespace winchhall::ranges {

struct Piece {  // of a query's spans, of one density
  Span span{};
  double weight = 0;
};

class Coverage {
 public:
  Coverage() = default;
  explicit Coverage(std::vector<Piece> pieces);  // disjoint, in any order

  // The share of the whole query that the span is, by density; what lies outside the query counts nothing.
  double share(const Span& span) const;

  void sent(const Span& span) { out_.add(span); }
  void back(const Span& span) { out_.remove(span); }  // its attempt ended without an answer

  // Takes an answer for this interval, or drops it: one that holds any key that is in already, as a parent's
  // after a child's or a duplicate, and one that reaches outside the query. The first that covers wins.
  bool take(const Span& span);

  bool whole() const { return in_ == asked_; }
  double in_share() const { return in_share_; }
  const SpanSet& in() const { return in_; }
  const SpanSet& out() const { return out_; }
  const SpanSet& asked() const { return asked_; }
  SpanSet to_ask() const { return asked_.minus(in_).minus(out_); }

 private:
  std::vector<Piece> pieces_;  // in order, weights sum to 1
  SpanSet asked_, in_, out_;
  double in_share_ = 0;
};

}  // namespace winchhall::ranges
