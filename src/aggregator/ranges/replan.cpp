#include "aggregator/ranges/replan.hpp"

#include <algorithm>

namespace winchhall::ranges {
namespace {

PlannedPart joined(const PlannedPart& a, const PlannedPart& b) {
  PlannedPart both = b;
  both.span.from = a.span.from;
  both.weight = a.weight + b.weight;
  both.hint = a.hint && b.hint ? std::optional(*a.hint + *b.hint) : std::nullopt;
  return both;
}

Decision decide(const RangeMap& map, const Coverage& coverage, const OpenPart& part) {
  const PlannedPart& old = part.planned;
  Decision d{Decision::Kind::keep, {part.number}, {}};
  // Some of it came in with another answer: only the rest is asked, as an answer for all of it would be
  // dropped.
  if (coverage.answered().overlaps(old.span)) {
    if (part.in_flight) return d;
    d.kind = Decision::Kind::replace;
    SpanSet rest;
    rest.add(old.span);
    rest = rest.minus(coverage.answered());
    double left = 0, all = std::max(coverage.share(old.span), 1e-300);
    for (const Span& s : rest.spans()) left += coverage.share(s) / all;
    auto hint = old.hint ? std::optional(*old.hint * left) : std::nullopt;
    d.successors = replan_spans(map, rest.spans(), coverage, hint, old.weight * left);
    return d;
  }
  auto now = replan_spans(map, {old.span}, coverage, old.hint, old.weight);
  if (now.size() != 1) {
    d.kind = part.in_flight ? Decision::Kind::defer : Decision::Kind::replace;
    d.successors = std::move(now);
    return d;
  }
  bool same = now[0].range == old.range && (now[0].holders == old.holders || *now[0].holders == *old.holders);
  if (same) return d;
  d.kind = Decision::Kind::reassign;
  d.successors = std::move(now);
  return d;
}

}  // namespace

std::vector<Decision> replan(const RangeMap& map, const Coverage& coverage, std::vector<OpenPart> parts) {
  std::sort(parts.begin(), parts.end(),
            [](const OpenPart& a, const OpenPart& b) { return a.planned.span.from < b.planned.span.from; });
  std::vector<Decision> list;
  const OpenPart* before = nullptr;  // the part that the last decision is about, where it may be joined
  for (const OpenPart& part : parts) {
    Decision d = decide(map, coverage, part);
    bool waits = !part.in_flight && d.kind == Decision::Kind::reassign;
    // Both halves of a merge wait: one call does for both. Where one is out it is left to end by itself.
    if (waits && before && before->planned.span.to == part.planned.span.from &&
        list.back().successors[0].range == d.successors[0].range) {
      list.back().kind = Decision::Kind::merge;
      list.back().parts.push_back(part.number);
      list.back().successors[0] = joined(list.back().successors[0], d.successors[0]);
    } else {
      list.push_back(std::move(d));
    }
    before = waits ? &part : nullptr;
  }
  return list;
}

DenialDecision handle_denial(const RangeMap& map, const Coverage& coverage, const OpenPart& part,
                             const Denial& word) {
  DenialDecision a;
  const PlannedPart& old = part.planned;
  // Where the map has moved on since the part was planned, that is the answer, whatever the node says.
  if (map.revision() > old.revision) {
    Decision d = decide(map, coverage, part);
    a.refresh_directory = word.revision > map.revision();
    if (d.kind != Decision::Kind::keep) {
      a.decision = std::move(d);
      return a;
    }
  }
  if (word.revision < map.revision()) return a;  // behind: it will hear of it soon
  a.refresh_directory = true;                    // ahead, or of our revision and yet of another mind
  if (word.revision == map.revision() || word.successors.empty()) return a;
  auto next = word.successors;
  std::sort(next.begin(), next.end(),
            [](const PlannedPart& x, const PlannedPart& y) { return x.span.from < y.span.from; });
  Key reached = old.span.from;
  for (PlannedPart& p : next) {
    p.span = {std::max(p.span.from, old.span.from), std::min(p.span.to, old.span.to)};
    // Guards against successors that leave a gap, overlap, or have nobody to ask: part of the keys would be
    // missed, or counted twice.
    if (p.span.empty() || p.span.from != reached || !p.holders || !holders_fault(*p.holders).empty())
      return a;
    reached = p.span.to;
    p.revision = word.revision;
    p.weight = coverage.share(p.span);
  }
  if (reached != old.span.to) return a;
  distribute_weight(next, old.hint, old.weight);
  a.decision = Decision{
      next.size() == 1 ? Decision::Kind::reassign : Decision::Kind::replace, {part.number}, std::move(next)};
  return a;
}

}  // namespace winchhall::ranges
