// Tracks which keys of a query have been answered, are in flight, or still have to be requested.
#pragma once

#include <vector>

#include "aggregator/ranges/spans.hpp"

namespace winchhall::ranges {

// An interval of a query within one range: its weight is spread evenly over its keys.
struct WeightedSpan {
  Span span{};
  double weight = 0;
};

// Works on key intervals rather than on parts, because parts are replaced when ranges split and merge, while
// the query's spans stay the same.
//
// Weights are those of the map revision under which the query was planned. The minimum share of a query class
// refers to what the client asked for, so weights that change while the query runs must not move that
// threshold.
class Coverage {
 public:
  Coverage() = default;
  // `spans`: disjoint, in any order; weights in any unit.
  explicit Coverage(std::vector<WeightedSpan> spans);

  // Weight of the span as a fraction of the whole query's, 0 to 1. Keys outside the query count as 0.
  double share(const Span& span) const;

  // An attempt for the span was sent.
  void on_sent(const Span& span) { in_flight_.add(span); }
  // The last attempt for the span ended without an answer.
  void on_attempt_failed(const Span& span) { in_flight_.remove(span); }

  // Records an answer for this span and returns true, or rejects it: one that contains an answered key (a
  // duplicate, or a parent range's answer after that of a child) and one that reaches outside the query. The
  // first answer for a key wins.
  bool add_answer(const Span& span);

  bool complete() const { return answered_ == requested_; }
  // Sum of share() over all accepted answers; exactly 1 once the query is complete.
  double answered_share() const { return answered_share_; }
  const SpanSet& answered() const { return answered_; }
  const SpanSet& in_flight() const { return in_flight_; }
  const SpanSet& requested() const { return requested_; }
  // Neither answered nor in flight.
  SpanSet unassigned() const { return requested_.minus(answered_).minus(in_flight_); }

 private:
  std::vector<WeightedSpan> spans_;  // sorted, weights sum to 1
  SpanSet requested_, answered_, in_flight_;
  double answered_share_ = 0;
};

}  // namespace winchhall::ranges
