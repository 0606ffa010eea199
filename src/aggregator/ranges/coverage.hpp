// What of a query's spans is in, out, or to be asked (again). Everything is counted on intervals and never on
// parts: parts come and go as ranges split and merge, the spans of a query don't.
//
// Weights are those of the revision that the query was planned under. A class's least share means a share of
// what the client asked for; weights that shift while the query runs must not move that mark.
#pragma once

#include <vector>

#include "aggregator/ranges/spans.hpp"

namespace winchhall::ranges {

struct WeightedSpan {  // of a query's spans, of one density
  Span span{};
  double weight = 0;
};

class Coverage {
 public:
  Coverage() = default;
  explicit Coverage(std::vector<WeightedSpan> pieces);  // disjoint, in any order

  // The share of the complete query that the span is, by density; what lies outside the query counts nothing.
  double share(const Span& span) const;

  void on_sent(const Span& span) { in_flight_.add(span); }
  void on_attempt_failed(const Span& span) {
    in_flight_.remove(span);
  }  // its attempt ended without an answer

  // Takes an answer for this interval, or drops it: one that holds any key that is in already, as a parent's
  // after a child's or a duplicate, and one that reaches outside the query. The first that covers wins.
  bool add_answer(const Span& span);

  bool complete() const { return answered_ == requested_; }
  double answered_share() const { return answered_share_; }
  const SpanSet& answered() const { return answered_; }
  const SpanSet& in_flight() const { return in_flight_; }
  const SpanSet& requested() const { return requested_; }
  SpanSet unassigned() const { return requested_.minus(answered_).minus(in_flight_); }

 private:
  std::vector<WeightedSpan> pieces_;  // in order, weights sum to 1
  SpanSet requested_, answered_, in_flight_;
  double answered_share_ = 0;
};

}  // namespace winchhall::ranges
