#include "ranges/planner.hpp"

#include <algorithm>

namespace winchhall::ranges {
namespace {
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
  std::vector<Piece> pieces;
  double sum = 0;
  bool fits = true;
  for (const Span& span : spans) {
    map.visit(span, [&](const Place& place) {
      if (!(fits = made.parts.size() < most)) return false;
      Span s = cut(place.span, span);
      double weight = place.weight * (static_cast<double>(s.size()) / static_cast<double>(place.span.size()));
      made.parts.push_back({s, place.id, map.revision(), *place.holders, weight, std::nullopt});
      pieces.push_back({s, weight});
      sum += weight;
      return true;
    });
  }
  if (!fits) {
    fault = "spans over more than " + std::to_string(most) + " ranges";
    return std::nullopt;
  }
  for (PlannedPart& p : made.parts) {
    p.weight = sum > 0 ? p.weight / sum : 1.0 / static_cast<double>(made.parts.size());
    if (hint) p.hint = *hint * p.weight;
  }
  made.coverage = Coverage(std::move(pieces));
  return made;
}

std::vector<PlannedPart> plan_again(const RangeMap& map, const Span& span, const Coverage& coverage,
                                    std::optional<double> hint, double share) {
  std::vector<PlannedPart> parts;
  map.visit(span, [&](const Place& place) {
    Span s = cut(place.span, span);
    double weight = coverage.share(s);
    parts.push_back({s, place.id, map.revision(), *place.holders, weight, std::nullopt});
    if (hint && share > 0) parts.back().hint = *hint * weight / share;
    return true;
  });
  return parts;
}

}  // namespace winchhall::ranges
