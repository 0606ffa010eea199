// Divides the spans of a query into parts: one for each range that a span overlaps, restricted to the span.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/coverage.hpp"
#include "aggregator/ranges/map.hpp"

namespace winchhall::ranges {

// A part of a query: keys of one range, to be requested from one of its holders.
struct PlannedPart {
  Span span{};
  RangeId range = 0;
  Revision revision{};  // of the map from which it was planned
  HoldersPtr holders{};
  // Share of the whole query, with a lower limit: if a part weighed less than the rounding error of a sum, an
  // answer without it would count as complete. Coverage has the exact shares.
  double weight = 0;
  std::optional<double> hint{};  // expected work in ms
};

// The parts of a query, and the record of its answered keys.
struct Plan {
  std::vector<PlannedPart> parts{};
  Coverage coverage{};
};

// Plans a query for spans that spans_fault has accepted. A part's weight is that of its range multiplied by
// the part's share of the range's keys. `hint` is the expected work of the whole query in ms and is divided
// accordingly. Returns none, with the reason in `fault`, if the map is empty or the query would need more
// than `max_parts` parts.
std::optional<Plan> plan(const RangeMap& map, const std::vector<Span>& spans, std::optional<double> hint,
                         std::size_t max_parts, std::string& fault);

// Plans these spans of an open query again. `weight` and `hint` are divided among the resulting parts by
// their shares in the query's coverage.
std::vector<PlannedPart> replan_spans(const RangeMap& map, const std::vector<Span>& spans,
                                      const Coverage& coverage, std::optional<double> hint, double weight);

// Scales the weights of the parts so that they sum to `weight`, and divides `hint` in the same proportions.
void distribute_weight(std::vector<PlannedPart>& parts, std::optional<double> hint, double weight);

}  // namespace winchhall::ranges
