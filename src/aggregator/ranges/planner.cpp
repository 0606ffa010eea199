#include "aggregator/ranges/planner.hpp"

#include <algorithm>

namespace winchhall::ranges {
namespace {
constexpr double kMinShare = 1e-6;  // of the weight that is divided: far above the rounding error of sums

Span intersection(const Span& range, const Span& span) {
  return {std::max(range.from, span.from), std::min(range.to, span.to)};
}
}  // namespace

std::optional<Plan> plan(const RangeMap& map, const std::vector<Span>& spans, std::optional<double> hint,
                         std::size_t max_parts, std::string& fault) {
  if (map.empty()) {
    fault = "no map of ranges is known yet";
    return std::nullopt;
  }
  Plan made;
  std::vector<WeightedSpan> weighted_spans;
  bool fits = true;
  for (const Span& span : spans) {
    map.visit(span, [&](const RangeView& range) {
      if (!(fits = made.parts.size() < max_parts)) return false;
      Span s = intersection(range.span, span);
      double weight = range.weight * (static_cast<double>(s.size()) / static_cast<double>(range.span.size()));
      made.parts.push_back({s, range.id, map.revision(), *range.holders, weight, std::nullopt});
      weighted_spans.push_back({s, weight});
      return true;
    });
  }
  if (!fits) {
    fault = "spans over more than " + std::to_string(max_parts) + " ranges";
    return std::nullopt;
  }
  distribute_weight(made.parts, hint, 1);
  made.coverage = Coverage(std::move(weighted_spans));
  return made;
}

std::vector<PlannedPart> replan_spans(const RangeMap& map, const std::vector<Span>& spans,
                                      const Coverage& coverage, std::optional<double> hint, double weight) {
  std::vector<PlannedPart> parts;
  for (const Span& span : spans)
    map.visit(span, [&](const RangeView& range) {
      Span s = intersection(range.span, span);
      parts.push_back({s, range.id, map.revision(), *range.holders, coverage.share(s), std::nullopt});
      return true;
    });
  distribute_weight(parts, hint, weight);
  return parts;
}

void distribute_weight(std::vector<PlannedPart>& parts, std::optional<double> hint, double weight) {
  double sum = 0, scaled_sum = 0;
  for (const PlannedPart& p : parts) sum += p.weight;
  for (PlannedPart& p : parts) {
    p.weight = std::max(sum > 0 ? p.weight / sum : 0, kMinShare);
    scaled_sum += p.weight;
  }
  for (PlannedPart& p : parts) {
    p.weight *= weight / scaled_sum;
    if (hint && weight > 0) p.hint = *hint * p.weight / weight;
  }
}

}  // namespace winchhall::ranges
