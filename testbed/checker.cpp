#include "testbed/checker.hpp"

#include <algorithm>

#include "aggregator/ranges/spans.hpp"

namespace winchhall::testbed {
namespace {
constexpr std::size_t kMaxExamples = 20;
constexpr Millis kGraceMs = 250;        // ms of a busy machine, on top of a client's time
constexpr Millis kMaxMapAgeMs = 10000;  // ms: an aggregator may hold a map as old as that, and plan by it
constexpr double kShareTolerance = 1e-3;
}  // namespace

Checker::Checker(const ReferenceLedger& reference, const SimulatedDeployment& deployment,
                 std::vector<ClassRule> classes, int max_attempts, Millis slack)
    : reference_(reference), deployment_(deployment), max_attempts_(max_attempts), slack_(slack) {
  for (ClassRule& c : classes) classes_[c.name] = c;
}

void Checker::record_violation(const std::string& rule, const std::string& what) {
  ++violations_[rule];
  if (violation_examples_.size() < kMaxExamples) violation_examples_.push_back(rule + ": " + what);
}

void Checker::record_query(const Query& query, Millis now) {
  open_[query.id] = {query, now, {}, false, 0};
  ++statistics_.asked;
  statistics_.value_requested += classes_.at(query.query_class).value;
}

void Checker::record_arrival(const Node::Arrival& a) {
  ++arrived_parts_;
  std::string id = a.part.substr(0, a.part.rfind('.'));
  auto it = open_.find(id);
  if (it == open_.end()) return record_violation("asked for", "a part of no query: " + a.part);
  const Query& q = it->second.query;
  bool inside =
      std::any_of(q.spans.begin(), q.spans.end(), [&](const auto& s) { return s.contains(a.span); });
  if (!inside || a.text != q.text)
    record_violation("asked for",
                     a.part + " asks for " + ranges::text_of(a.span) + ", which its client did not");
  it->second.attempts.push_back(a.span);
}

// The share that these rows are, by the densities of any revision that the aggregator may have planned under:
// the one that is kindest to it. A share below the least under all of them is below it.
double Checker::covered_share(const OpenQuery& open, const std::vector<ReferenceLedger::Row>& rows,
                              Millis now) const {
  double best = 0;
  ranges::Revision last{};
  auto weigh = [&](const ranges::RangeMap& map) {
    auto sum = [&](const ranges::Span& span) {
      double w = 0;
      map.visit(span, [&](const ranges::RangeView& p) {
        ranges::Span both{std::max(p.span.from, span.from), std::min(p.span.to, span.to)};
        w += p.weight * static_cast<double>(both.size()) / static_cast<double>(p.span.size());
        return true;
      });
      return w;
    };
    double in = 0, all = 0;
    for (const auto& row : rows) in += sum(row.span);
    for (const auto& span : open.query.spans) all += sum(span);
    best = std::max(best, all > 0 ? in / all : 0);
  };
  for (Millis at = open.sent_at - kMaxMapAgeMs; at <= now; at += 50) {
    const ranges::RangeMap& map = deployment_.map_at(at);
    if (map.revision() == last) continue;
    last = map.revision();
    weigh(map);
  }
  return best;
}

void Checker::record_reply(const std::string& id, const Reply& r, Millis now, bool excused) {
  auto it = open_.find(id);
  if (it == open_.end()) return record_violation("one answer", "an answer to no query");
  OpenQuery& open = it->second;
  if (open.answered) return record_violation("one answer", "query " + id + " has two");
  open.answered = true;
  open.answered_at = now;
  const ClassRule& c = classes_.at(open.query.query_class);
  Millis took = now - open.sent_at;
  statistics_.latency.add(took);
  if (took > open.query.timeout + slack_ && !excused)
    record_violation("in time", "query " + id + " heard after " + std::to_string(took) + " ms of " +
                                    std::to_string(open.query.timeout));
  switch (r.kind) {
    case Reply::Kind::refused:
      ++statistics_.refused;
      return;
    case Reply::Kind::failed:
      ++statistics_.failed;
      if (r.error.find("no answer") != std::string::npos) record_violation("readable", id + ": " + r.error);
      return;
    case Reply::Kind::invalid:
      return record_violation("asked for", "query " + id + " was called unfit: " + r.error);
    case Reply::Kind::no_reply:
      ++(excused ? statistics_.excused : statistics_.no_reply);
      if (!excused) record_violation("one answer", "query " + id + " has none");
      return;
    case Reply::Kind::answered:
      break;
  }
  auto compared = reference_.compare(open.query.spans, open.query.text, r.rows);
  statistics_.rows_right += compared.right;
  statistics_.rows_wrong += compared.wrong;
  statistics_.rows_doubled += compared.doubled;
  statistics_.rows_missing += compared.missing;
  statistics_.rows_foreign += compared.foreign;
  if (!compared.matches())
    record_violation("right rows", "query " + id + ": " + std::to_string(compared.wrong) + " wrong, " +
                                       std::to_string(compared.doubled) + " doubled, " +
                                       std::to_string(compared.missing) + " missing, " +
                                       std::to_string(compared.foreign) + " foreign");
  ranges::SpanSet covered, wanted(open.query.spans);
  for (const auto& row : r.rows) {
    if (covered.overlaps(row.span))
      record_violation("no part twice", "query " + id + " at " + ranges::text_of(row.span));
    covered.add(row.span);
  }
  bool all = covered == wanted;
  if (r.whole && !all) record_violation("honest", "query " + id + " is called whole and is not");
  double in = all ? 1 : covered_share(open, r.rows, now);
  if (in < c.floor - kShareTolerance)
    record_violation("least share",
                     "query " + id + " holds " + std::to_string(in) + " of " + std::to_string(c.floor));
  ++(r.whole ? statistics_.whole : statistics_.partial);
  statistics_.late += took > c.latency_target;
  double value = c.value * (r.whole ? 1 : c.partial_value * in);
  statistics_.value_earned += value * (took <= c.latency_target ? 1 : c.late_value);
}

// However its ranges were split and merged: no account was asked for more often than a part may be.
void Checker::check_attempts(const std::string& id, const OpenQuery& open) {
  std::vector<std::pair<ranges::Key, int>> ends;
  for (const auto& s : open.attempts) {
    ends.emplace_back(s.from, 1);
    ends.emplace_back(s.to, -1);
  }
  std::sort(ends.begin(), ends.end());
  int depth = 0, max_depth = 0;
  for (const auto& [key, step] : ends) max_depth = std::max(max_depth, depth += step);
  most_attempts_ = std::max(most_attempts_, static_cast<std::size_t>(max_depth));
  if (max_depth > max_attempts_)
    record_violation("attempts",
                     "query " + id + " asked " + std::to_string(max_depth) + " times for the same account");
}

void Checker::finish() {
  for (const auto& [id, open] : open_) {
    check_attempts(id, open);
    if (!open.answered) record_violation("one answer", "query " + id + " has none");
  }
}

}  // namespace winchhall::testbed
