#include "aggregator/ranges/coverage.hpp"

#include <algorithm>

namespace winchhall::ranges {

Coverage::Coverage(std::vector<WeightedSpan> spans) : spans_(std::move(spans)) {
  std::sort(spans_.begin(), spans_.end(),
            [](const WeightedSpan& a, const WeightedSpan& b) { return a.span.from < b.span.from; });
  double sum = 0;
  for (const WeightedSpan& p : spans_) {
    requested_.add(p.span);
    sum += p.weight;
  }
  for (WeightedSpan& p : spans_)
    p.weight = sum > 0 ? p.weight / sum : 1.0 / static_cast<double>(spans_.size());
}

double Coverage::share(const Span& span) const {
  auto it = std::partition_point(spans_.begin(), spans_.end(),
                                 [&](const WeightedSpan& p) { return p.span.to <= span.from; });
  double sum = 0;
  for (; it != spans_.end() && it->span.from < span.to; ++it) {
    Span overlap{std::max(it->span.from, span.from), std::min(it->span.to, span.to)};
    sum += it->weight * (static_cast<double>(overlap.size()) / static_cast<double>(it->span.size()));
  }
  return sum;
}

bool Coverage::add_answer(const Span& span) {
  if (span.empty() || !requested_.contains(span) || answered_.overlaps(span)) return false;
  answered_.add(span);
  in_flight_.remove(span);
  answered_share_ = complete() ? 1 : answered_share_ + share(span);
  return true;
}

}  // namespace winchhall::ranges
