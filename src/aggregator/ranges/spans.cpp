#include "aggregator/ranges/spans.hpp"

#include <algorithm>

namespace winchhall::ranges {
namespace {
// The first interval that ends after `key`: the only one that can contain it.
auto first_ending_after(const std::vector<Span>& spans, Key key) {
  return std::partition_point(spans.begin(), spans.end(), [&](const Span& s) { return s.to <= key; });
}
}  // namespace

void SpanSet::add(const Span& span) {
  if (span.empty()) return;
  Span all = span;
  // An interval that ends where the span begins is merged with it.
  auto first =
      std::partition_point(spans_.begin(), spans_.end(), [&](const Span& s) { return s.to < span.from; });
  auto last = first;
  for (; last != spans_.end() && last->from <= span.to; ++last)
    all = {std::min(all.from, last->from), std::max(all.to, last->to)};
  spans_.insert(spans_.erase(first, last), all);
}

void SpanSet::remove(const Span& span) {
  if (span.empty()) return;
  auto first = spans_.begin() + (first_ending_after(spans_, span.from) - spans_.cbegin());
  auto last = first;
  std::vector<Span> left;
  for (; last != spans_.end() && last->from < span.to; ++last) {
    if (last->from < span.from) left.push_back({last->from, span.from});
    if (last->to > span.to) left.push_back({span.to, last->to});
  }
  auto at = spans_.erase(first, last);
  spans_.insert(at, left.begin(), left.end());
}

bool SpanSet::contains(const Span& span) const {
  if (span.empty()) return true;
  auto it = first_ending_after(spans_, span.from);
  return it != spans_.end() && it->contains(span);
}

bool SpanSet::overlaps(const Span& span) const {
  if (span.empty()) return false;
  auto it = first_ending_after(spans_, span.from);
  return it != spans_.end() && it->overlaps(span);
}

Key SpanSet::size() const {
  Key sum = 0;
  for (const Span& s : spans_) sum += s.size();
  return sum;
}

SpanSet SpanSet::minus(const SpanSet& other) const {
  SpanSet left = *this;
  for (const Span& s : other.spans_) left.remove(s);
  return left;
}

std::string spans_fault(const std::vector<Span>& spans, std::size_t max_spans) {
  if (spans.empty()) return "no span";
  if (spans.size() > max_spans) return "more than " + std::to_string(max_spans) + " spans";
  std::vector<Span> sorted = spans;
  std::sort(sorted.begin(), sorted.end(), [](const Span& a, const Span& b) { return a.from < b.from; });
  for (std::size_t i = 0; i < sorted.size(); ++i) {
    if (sorted[i].empty() || sorted[i].to > kKeyEnd)
      return "span " + text_of(sorted[i]) + " (wanted: from below to, both within [0, 2^53])";
    if (i > 0 && sorted[i - 1].overlaps(sorted[i]))
      return "span " + text_of(sorted[i]) + " overlaps " + text_of(sorted[i - 1]);
  }
  return "";
}

}  // namespace winchhall::ranges
