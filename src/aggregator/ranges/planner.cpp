#include "aggregator/ranges/planner.hpp"

#include <algorithm>

namespace winchhall::ranges {
namespace {
constexpr double kMinShare = 1e-6;  // of what is divided: far above what sums are off by

Span cut(const Span& range, const Span& span) {
  return {std::max(range.from, span.from), std::min(range.to, span.to)};
}
}  // namespace

std::optional<Plan> plan(const RangeMap& map, const std::vector<Span>& spans, std::optional<double> hint,
                         std::size_t most, std::string& fault) {
  if (map.empty()) {
    fault = "no map of ranges is known yet";
    return std::nullopt;
  }
  Plan made;
  std::vector<WeightedSpan> pieces;
  bool fits = true;
  for (const Span& span : spans) {
    map.visit(span, [&](const RangeView& place) {
      if (!(fits = made.parts.size() < most)) return false;
      Span s = cut(place.span, span);
      double weight = place.weight * (static_cast<double>(s.size()) / static_cast<double>(place.span.size()));
      made.parts.push_back({s, place.id, map.revision(), *place.holders, weight, std::nullopt});
      pieces.push_back({s, weight});
      return true;
    });
  }
  if (!fits) {
    fault = "spans over more than " + std::to_string(most) + " ranges";
    return std::nullopt;
  }
  distribute_weight(made.parts, hint, 1);
  made.coverage = Coverage(std::move(pieces));
  return made;
}

std::vector<PlannedPart> replan_spans(const RangeMap& map, const std::vector<Span>& pieces,
                                      const Coverage& coverage, std::optional<double> hint, double weight) {
  std::vector<PlannedPart> parts;
  for (const Span& span : pieces)
    map.visit(span, [&](const RangeView& place) {
      Span s = cut(place.span, span);
      parts.push_back({s, place.id, map.revision(), *place.holders, coverage.share(s), std::nullopt});
      return true;
    });
  distribute_weight(parts, hint, weight);
  return parts;
}

void distribute_weight(std::vector<PlannedPart>& parts, std::optional<double> hint, double weight) {
  double sum = 0, all = 0;
  for (const PlannedPart& p : parts) sum += p.weight;
  for (PlannedPart& p : parts) {
    p.weight = std::max(sum > 0 ? p.weight / sum : 0, kMinShare);
    all += p.weight;
  }
  for (PlannedPart& p : parts) {
    p.weight *= weight / all;
    if (hint && weight > 0) p.hint = *hint * p.weight / weight;
  }
}

}  // namespace winchhall::ranges
