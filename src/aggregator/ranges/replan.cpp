#include "aggregator/ranges/replan.hpp"

#include <algorithm>

namespace winchhall::ranges {
namespace {

PlannedPart merged(const PlannedPart& a, const PlannedPart& b) {
  PlannedPart both = b;
  both.span.from = a.span.from;
  both.weight = a.weight + b.weight;
  both.hint = a.hint && b.hint ? std::optional(*a.hint + *b.hint) : std::nullopt;
  return both;
}

Decision decide(const RangeMap& map, const Coverage& coverage, const OpenPart& part) {
  const PlannedPart& old = part.planned;
  Decision d{Decision::Kind::keep, {part.number}, {}};
  // Another answer has covered some of its keys. Only the remaining ones are requested, because an answer for
  // all of them would be rejected.
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
  const OpenPart* previous = nullptr;  // the previous part, if it may be merged with this one
  for (const OpenPart& part : parts) {
    Decision d = decide(map, coverage, part);
    bool mergeable = !part.in_flight && d.kind == Decision::Kind::reassign;
    // Both parts of a merged range are waiting: one request replaces them. If one of them is in flight, each
    // stays a part of its own.
    if (mergeable && previous && previous->planned.span.to == part.planned.span.from &&
        list.back().successors[0].range == d.successors[0].range) {
      list.back().kind = Decision::Kind::merge;
      list.back().parts.push_back(part.number);
      list.back().successors[0] = merged(list.back().successors[0], d.successors[0]);
    } else {
      list.push_back(std::move(d));
    }
    previous = mergeable ? &part : nullptr;
  }
  return list;
}

DenialDecision handle_denial(const RangeMap& map, const Coverage& coverage, const OpenPart& part,
                             const Denial& denial) {
  DenialDecision a;
  const PlannedPart& old = part.planned;
  // If the map is newer than the part's plan, it decides, whatever the node says.
  if (map.revision() > old.revision) {
    Decision d = decide(map, coverage, part);
    a.refresh_directory = denial.revision > map.revision();
    if (d.kind != Decision::Kind::keep) {
      a.decision = std::move(d);
      return a;
    }
  }
  if (denial.revision < map.revision()) return a;  // the node's map is older and will be updated soon
  a.refresh_directory = true;                      // newer, or of the same revision and contradictory
  if (denial.revision == map.revision() || denial.successors.empty()) return a;
  auto next = denial.successors;
  std::sort(next.begin(), next.end(),
            [](const PlannedPart& x, const PlannedPart& y) { return x.span.from < y.span.from; });
  Key covered_to = old.span.from;
  for (PlannedPart& p : next) {
    p.span = {std::max(p.span.from, old.span.from), std::min(p.span.to, old.span.to)};
    // Successors with a gap or an overlap would cause keys to be missed or counted twice; without a serving
    // holder they can't be requested.
    if (p.span.empty() || p.span.from != covered_to || !p.holders || !holders_fault(*p.holders).empty())
      return a;
    covered_to = p.span.to;
    p.revision = denial.revision;
    p.weight = coverage.share(p.span);
  }
  if (covered_to != old.span.to) return a;
  distribute_weight(next, old.hint, old.weight);
  a.decision = Decision{
      next.size() == 1 ? Decision::Kind::reassign : Decision::Kind::replace, {part.number}, std::move(next)};
  return a;
}

}  // namespace winchhall::ranges
