// From spans of keys to parts: one for each range that a span touches, cut to the span.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/coverage.hpp"
#include "aggregator/ranges/map.hpp"

namespace winchhall::ranges {

struct PlannedPart {
  Span span{};
  RangeId range = 0;
  Revision revision{};  // of the map it was planned under
  HoldersPtr holders{};
  // Share of the whole query, but never next to nothing: a part that weighs less than what sums may be off by
  // would be one that nobody misses. Coverage has the exact shares.
  double weight = 0;
  std::optional<double> hint{};  // expected work, ms
};

struct Plan {
  std::vector<PlannedPart> parts{};
  Coverage coverage{};
};

// The parts of these spans, which are sound (spans_fault). A range's weight counts by the share of its keys
// that a part has; `hint` is the work of the whole query and is divided likewise. Nothing, and the reason,
// where there is no map yet or the query would need more than `most` parts.
std::optional<Plan> plan(const RangeMap& map, const std::vector<Span>& spans, std::optional<double> hint,
                         std::size_t most, std::string& fault);

// The same for a piece of a query under way: its weight and hint are divided among the successors by the
// shares that the query's coverage has.
std::vector<PlannedPart> replan_spans(const RangeMap& map, const std::vector<Span>& pieces,
                                      const Coverage& coverage, std::optional<double> hint, double weight);

// Divides weight and hint by the parts' weights so far, which are shares of any sum.
void distribute_weight(std::vector<PlannedPart>& parts, std::optional<double> hint, double weight);

}  // namespace winchhall::ranges
