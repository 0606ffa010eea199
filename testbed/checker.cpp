#include "testbed/checker.hpp"

#include <algorithm>

#include "aggregator/ranges/spans.hpp"

namespace winchhall::testbed {
namespace {
constexpr std::size_t kMaxExamples = 20;
constexpr Millis kGraceMs = 250;        // allowance for a loaded machine, on top of a client's timeout
constexpr Millis kMaxMapAgeMs = 10000;  // an aggregator may plan with a range map up to this old
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
  if (it == open_.end()) return record_violation("asked for", "a part of an unknown query: " + a.part);
  const Query& q = it->second.query;
  bool inside =
      std::any_of(q.spans.begin(), q.spans.end(), [&](const auto& s) { return s.contains(a.span); });
  if (!inside || a.text != q.text)
    record_violation("asked for",
                     a.part + " requests " + ranges::text_of(a.span) + ", which is not part of its query");
  it->second.attempts.push_back(a.span);
}

// Returns the share of the query's weight that these rows cover. The weights depend on the map revision that
// the aggregator planned with, which isn't known here, so the largest share under any possible revision is
// returned: if that one is below the class's floor, the answer is too small under every revision.
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
  if (it == open_.end()) return record_violation("one answer", "a reply to an unknown query: " + id);
  OpenQuery& open = it->second;
  if (open.answered) return record_violation("one answer", "query " + id + " has two replies");
  open.answered = true;
  open.answered_at = now;
  const ClassRule& c = classes_.at(open.query.query_class);
  Millis took = now - open.sent_at;
  statistics_.latency.add(took);
  if (took > open.query.timeout + slack_ && !excused)
    record_violation("in time", "query " + id + " was answered after " + std::to_string(took) +
                                    " ms; its timeout is " + std::to_string(open.query.timeout) + " ms");
  switch (r.kind) {
    case Reply::Kind::refused:
      ++statistics_.refused;
      return;
    case Reply::Kind::failed:
      ++statistics_.failed;
      if (r.error.find("no answer") != std::string::npos) record_violation("readable", id + ": " + r.error);
      return;
    case Reply::Kind::invalid:
      return record_violation("asked for", "query " + id + " was rejected as invalid: " + r.error);
    case Reply::Kind::no_reply:
      ++(excused ? statistics_.excused : statistics_.no_reply);
      if (!excused) record_violation("one answer", "query " + id + " has no reply");
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
                                       std::to_string(compared.doubled) + " duplicated, " +
                                       std::to_string(compared.missing) + " missing, " +
                                       std::to_string(compared.foreign) + " foreign");
  ranges::SpanSet covered, wanted(open.query.spans);
  for (const auto& row : r.rows) {
    if (covered.overlaps(row.span))
      record_violation("no part twice",
                       "query " + id + " has more than one row for " + ranges::text_of(row.span));
    covered.add(row.span);
  }
  bool all = covered == wanted;
  if (r.whole && !all)
    record_violation("honest", "query " + id + " is marked exact but does not cover all its spans");
  double in = all ? 1 : covered_share(open, r.rows, now);
  if (in < c.floor - kShareTolerance)
    record_violation("least share", "query " + id + " covers a share of " + std::to_string(in) +
                                        "; the least is " + std::to_string(c.floor));
  ++(r.whole ? statistics_.whole : statistics_.partial);
  statistics_.late += took > c.latency_target;
  double value = c.value * (r.whole ? 1 : c.partial_value * in);
  statistics_.value_earned += value * (took <= c.latency_target ? 1 : c.late_value);
}

// Checks that no account was requested from nodes more than max_attempts_ times. The requested spans may
// overlap partially because ranges are split and merged between attempts, so the largest overlap depth is
// counted.
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
    record_violation("attempts", "query " + id + " requested the same account " + std::to_string(max_depth) +
                                     " times; the limit is " + std::to_string(max_attempts_));
}

void Checker::finish() {
  for (const auto& [id, open] : open_) {
    check_attempts(id, open);
    if (!open.answered) record_violation("one answer", "query " + id + " has no reply");
  }
}

}  // namespace winchhall::testbed
