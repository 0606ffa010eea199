#include "testbed/checker.hpp"

#include <algorithm>

#include "aggregator/ranges/spans.hpp"

namespace winchhall::testbed {
namespace {
constexpr std::size_t kCasesMost = 20;
constexpr Millis kGrace = 250;         // ms of a busy machine, on top of a client's time
constexpr Millis kMapsBefore = 10000;  // ms: an aggregator may hold a map as old as that, and plan by it
constexpr double kShareSlack = 1e-3;
}  // namespace

Checker::Checker(const Truth& truth, const World& world, std::vector<ClassRule> classes, int attempts_most,
                 Millis slack)
    : truth_(truth), world_(world), attempts_most_(attempts_most), slack_(slack) {
  for (ClassRule& c : classes) classes_[c.name] = c;
}

void Checker::broke(const std::string& rule, const std::string& what) {
  ++broken_[rule];
  if (cases_.size() < kCasesMost) cases_.push_back(rule + ": " + what);
}

void Checker::asked(const Asked& asked, Millis now) {
  open_[asked.id] = {asked, now, {}, false, 0};
  ++figures_.asked;
  figures_.value_requested += classes_.at(asked.query_class).value;
}

void Checker::arrived(const Node::Arrival& a) {
  ++parts_;
  std::string id = a.part.substr(0, a.part.rfind('.'));
  auto it = open_.find(id);
  if (it == open_.end()) return broke("asked for", "a part of no query: " + a.part);
  const Asked& q = it->second.asked;
  bool inside =
      std::any_of(q.spans.begin(), q.spans.end(), [&](const auto& s) { return s.contains(a.span); });
  if (!inside || a.text != q.text)
    broke("asked for", a.part + " asks for " + ranges::text_of(a.span) + ", which its client did not");
  it->second.attempts.push_back(a.span);
}

// The share that these rows are, by the densities of any revision that the aggregator may have planned under:
// the one that is kindest to it. A share below the least under all of them is below it.
double Checker::share(const Open& open, const std::vector<Truth::Row>& rows, Millis now) const {
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
    for (const auto& span : open.asked.spans) all += sum(span);
    best = std::max(best, all > 0 ? in / all : 0);
  };
  for (Millis at = open.at - kMapsBefore; at <= now; at += 50) {
    const ranges::RangeMap& map = world_.map_at(at);
    if (map.revision() == last) continue;
    last = map.revision();
    weigh(map);
  }
  return best;
}

void Checker::told(const std::string& id, const Reply& r, Millis now, bool excused) {
  auto it = open_.find(id);
  if (it == open_.end()) return broke("one answer", "an answer to no query");
  Open& open = it->second;
  if (open.told) return broke("one answer", "query " + id + " has two");
  open.told = true;
  open.told_at = now;
  const ClassRule& c = classes_.at(open.asked.query_class);
  Millis took = now - open.at;
  figures_.latency.add(took);
  if (took > open.asked.timeout + slack_ && !excused)
    broke("in time", "query " + id + " heard after " + std::to_string(took) + " ms of " +
                         std::to_string(open.asked.timeout));
  switch (r.kind) {
    case Reply::Kind::refused:
      ++figures_.refused;
      return;
    case Reply::Kind::failed:
      ++figures_.failed;
      if (r.error.find("no answer") != std::string::npos) broke("readable", id + ": " + r.error);
      return;
    case Reply::Kind::unfit:
      return broke("asked for", "query " + id + " was called unfit: " + r.error);
    case Reply::Kind::broken:
      ++(excused ? figures_.excused : figures_.broken);
      if (!excused) broke("one answer", "query " + id + " has none");
      return;
    case Reply::Kind::answered:
      break;
  }
  auto compared = truth_.compare(open.asked.spans, open.asked.text, r.rows);
  figures_.rows_right += compared.right;
  figures_.rows_wrong += compared.wrong;
  figures_.rows_doubled += compared.doubled;
  figures_.rows_missing += compared.missing;
  figures_.rows_foreign += compared.foreign;
  if (!compared.sound())
    broke("right rows", "query " + id + ": " + std::to_string(compared.wrong) + " wrong, " +
                            std::to_string(compared.doubled) + " doubled, " +
                            std::to_string(compared.missing) + " missing, " +
                            std::to_string(compared.foreign) + " foreign");
  ranges::SpanSet covered, wanted(open.asked.spans);
  for (const auto& row : r.rows) {
    if (covered.overlaps(row.span))
      broke("no part twice", "query " + id + " at " + ranges::text_of(row.span));
    covered.add(row.span);
  }
  bool all = covered == wanted;
  if (r.whole && !all) broke("honest", "query " + id + " is called whole and is not");
  double in = all ? 1 : share(open, r.rows, now);
  if (in < c.floor - kShareSlack)
    broke("least share", "query " + id + " holds " + std::to_string(in) + " of " + std::to_string(c.floor));
  ++(r.whole ? figures_.whole : figures_.partial);
  figures_.late += took > c.latency_target;
  double value = c.value * (r.whole ? 1 : c.partial_value * in);
  figures_.value_earned += value * (took <= c.latency_target ? 1 : c.late_value);
}

// However its ranges were split and merged: no account was asked for more often than a part may be.
void Checker::attempts_of(const std::string& id, const Open& open) {
  std::vector<std::pair<ranges::Key, int>> ends;
  for (const auto& s : open.attempts) {
    ends.emplace_back(s.from, 1);
    ends.emplace_back(s.to, -1);
  }
  std::sort(ends.begin(), ends.end());
  int depth = 0, deepest = 0;
  for (const auto& [key, step] : ends) deepest = std::max(deepest, depth += step);
  most_attempts_ = std::max(most_attempts_, static_cast<std::size_t>(deepest));
  if (deepest > attempts_most_)
    broke("attempts", "query " + id + " asked " + std::to_string(deepest) + " times for the same account");
}

void Checker::finish() {
  for (const auto& [id, open] : open_) {
    attempts_of(id, open);
    if (!open.told) broke("one answer", "query " + id + " has none");
  }
}

}  // namespace winchhall::testbed
