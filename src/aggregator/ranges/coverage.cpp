#include "aggregator/ranges/coverage.hpp"

#include <algorithm>

namespace winchhall::ranges {

Coverage::Coverage(std::vector<Piece> pieces) : pieces_(std::move(pieces)) {
  std::sort(pieces_.begin(), pieces_.end(),
            [](const Piece& a, const Piece& b) { return a.span.from < b.span.from; });
  double sum = 0;
  for (const Piece& p : pieces_) {
    asked_.add(p.span);
    sum += p.weight;
  }
  for (Piece& p : pieces_) p.weight = sum > 0 ? p.weight / sum : 1.0 / static_cast<double>(pieces_.size());
}

double Coverage::share(const Span& span) const {
  auto it = std::partition_point(pieces_.begin(), pieces_.end(),
                                 [&](const Piece& p) { return p.span.to <= span.from; });
  double sum = 0;
  for (; it != pieces_.end() && it->span.from < span.to; ++it) {
    Span both{std::max(it->span.from, span.from), std::min(it->span.to, span.to)};
    sum += it->weight * (static_cast<double>(both.size()) / static_cast<double>(it->span.size()));
  }
  return sum;
}

bool Coverage::take(const Span& span) {
  if (span.empty() || !asked_.contains(span) || in_.overlaps(span)) return false;
  in_.add(span);
  out_.remove(span);
  in_share_ = whole() ? 1 : in_share_ + share(span);
  return true;
}

}  // namespace winchhall::ranges
