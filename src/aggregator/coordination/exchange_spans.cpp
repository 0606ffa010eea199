// Moving ranges in the exchange: queries over accounts are planned, and planned again when ranges move.
#include <algorithm>
#include <utility>

#include "aggregator/coordination/check.hpp"
#include "aggregator/coordination/exchange.hpp"

namespace winchhall::core {

using namespace winchhall;
using ranges::Decision;
using ranges::OpenPart;
using ranges::PlannedPart;
using ranges::RangeMap;

namespace {
// ms that a part waits for the directory once its server told of a later map: a question and its answer on
// a slow link. Other holders of the old map would most likely say the same, and each saying costs an attempt.
constexpr Millis kWord = 150;
constexpr double kShareSlack = 1e-4;  // of sums of shares, by rounding; the rule allows as much
}  // namespace

Exchange::PartState Exchange::span_part(PlannedPart planned) {
  PartState p{.spec = {0, planned.weight, planned.hint}};
  p.span = std::make_unique<SpanPart>();
  p.span->planned = std::move(planned);
  return p;
}

std::string Exchange::plan(QueryState& q, bool& later) {
  std::string why;
  auto plan = ranges::plan(map_, q.spec.spans, q.spec.hint, kPartsMost, why);
  later = map_.empty();
  if (!plan) return why;
  q.parts.reserve(plan->parts.size());
  for (PlannedPart& p : plan->parts) q.parts.push_back(span_part(std::move(p)));
  q.coverage = std::move(plan->coverage);
  return "";
}

void Exchange::remap(RangeMap map) {
  inbox_.push_back([this, m = std::move(map)] {
    map_ = m;
    for (auto& [number, q] : queries_)
      // Guards against parts and their successors side by side: one that the module hasn't heard of yet is
      // planned again when it has.
      if (q.sink && q.coverage && q.arrived_at_module) replan(number);
  });
}

OpenPart Exchange::open_part(const QueryState& q, std::size_t part) {
  const SpanPart& p = *q.parts[part].span;
  return {part, p.out > 0, p.planned};
}

void Exchange::replan(QueryNumber number) {
  QueryState& q = queries_.at(number);
  std::vector<OpenPart> open;
  for (std::size_t i = 0; i < q.parts.size(); ++i)
    if (!q.parts[i].in && !q.parts[i].span->replaced) open.push_back(open_part(q, i));
  if (open.empty()) return;
  for (const Decision& d : ranges::replan(map_, *q.coverage, std::move(open))) {
    if (!q.sink) return;  // the module has ended it meanwhile
    carry_out(number, d);
  }
}

void Exchange::carry_out(QueryNumber number, const Decision& d) {
  QueryState& q = queries_.at(number);
  SpanPart& p = *q.parts[d.parts[0]].span;
  switch (d.kind) {
    case Decision::Kind::keep:
      if (p.held_back) holders(number, d.parts[0], false);
      return;
    case Decision::Kind::hold_back: {
      moves_.held_back += !p.held_back;
      p.held_back = true;
      // Whom its successors would go to: so long as it is out, the module only asks itself by them whether a
      // silent server is worth leaving.
      HoldersChanged e{part_id(number, d.parts[0]), {}};
      for (const PlannedPart& s : d.successors)
        for (std::string& server : ranges::serving(*s.holders))
          if (std::find(e.holders.begin(), e.holders.end(), server) == e.holders.end())
            e.holders.push_back(std::move(server));
      return handle(e);
    }
    case Decision::Kind::elsewhere:
      ++moves_.elsewhere;
      p.planned = d.successors[0];
      return holders(number, d.parts[0], false);
    case Decision::Kind::replace:
    case Decision::Kind::join:
      // Guards against parts that an earlier decision of the same round sent out (as spares are): the module
      // would not let go of them. They are planned again when they end.
      if (std::any_of(d.parts.begin(), d.parts.end(),
                      [&](std::size_t i) { return q.parts[i].span->out > 0; })) {
        for (std::size_t i : d.parts) q.parts[i].span->held_back |= q.parts[i].span->out > 0;
        return;
      }
      ++(d.kind == Decision::Kind::join ? moves_.joined : moves_.replaced);
      return replace(number, d);
  }
}

void Exchange::holders(QueryNumber number, std::size_t part, bool held_back) {
  SpanPart& p = *queries_.at(number).parts[part].span;
  p.held_back = held_back;
  HoldersChanged e{part_id(number, part), {}};
  if (!held_back) e.holders = ranges::serving(*p.planned.holders);
  handle(e);
}

void Exchange::replace(QueryNumber number, const Decision& d) {
  QueryState& q = queries_.at(number);
  PartsReplaced e;
  for (std::size_t part : d.parts) {
    q.parts[part].span->replaced = true;
    e.parts.push_back(part_id(number, part));
  }
  for (const PlannedPart& s : d.successors) {
    e.successors.push_back(
        {part_id(number, q.parts.size()), 0, s.weight, s.hint, ranges::serving(*s.holders)});
    q.parts.push_back(span_part(s));
    ++q.held;
    ++held_;
  }
  handle(e);
}

// A server has not what the part asks for. First, before the module hears that the attempt is over: whom it
// may ask next. Then, when it has heard: what takes the part's place.
void Exchange::denied(QueryNumber number, std::size_t part, const Result& r, bool heard) {
  QueryState& q = queries_.at(number);
  if (!q.sink) return;
  auto answer = ranges::not_mine(map_, *q.coverage, open_part(q, part), *r.denial);
  if (heard) {
    if (answer.decision && answer.decision->kind == Decision::Kind::replace)
      carry_out(number, *answer.decision);
    return;
  }
  ++moves_.denied;
  if (answer.ask_directory && range_source_) range_source_->refresh();
  if (answer.decision && answer.decision->kind == Decision::Kind::elsewhere)
    return carry_out(number, *answer.decision);
  bool wait = answer.ask_directory && r.denial->revision > map_.revision() && range_source_;
  if (!answer.decision && !wait) return;  // another holder, or the same one in a moment
  holders(number, part, true);
  if (!answer.decision) word_due_.insert({clock_() + kWord, {number, part}});
}

// The module has heard of it: what takes the part's place now.
void Exchange::spans_settled(QueryState& q, const AttemptState& a, bool denies, const Result& r) {
  const PartState& p = q.parts[a.part];
  if (!q.sink || p.in || p.span->replaced) return;
  if (denies && p.span->out == 0) return denied(a.query, a.part, r, true);
  // Its range was split or merged while it was out: now that it has no answer, its successors are asked.
  if (p.span->held_back) replan(a.query);
}

// True where the answer counts.
bool Exchange::spans_ended(QueryState& q, const AttemptState& a, Result& r) {
  SpanPart& p = *q.parts[a.part].span;
  if (r.outcome != Outcome::ok) {
    if (p.out == 0) q.coverage->back(p.planned.span);
    return false;
  }
  if (q.coverage->take(p.planned.span)) return true;
  ++moves_.dropped;
  std::string in;
  for (const ranges::Span& span : q.coverage->in().spans()) in += " " + ranges::text_of(span);
  log_("an answer dropped: some of its accounts are in already: query " + q.spec.id + " part " +
       std::to_string(a.part) + " " + ranges::text_of(p.planned.span) + ", in are" + in);
  r.outcome = Outcome::error;
  return false;
}

Verdict Exchange::answer(const QueryState& q, bool whole) const {
  Verdict v{.kind = Verdict::Kind::answered, .whole = whole};
  for (const PartState& p : q.parts)
    if (p.in) {
      v.share += p.spec.weight;
      v.rows.push_back({p.spec.shard, p.values, {}, {}});
      if (!p.span) continue;
      v.rows.back().span = p.span->planned.span;
      v.rows.back().revision = p.span->asked;
    }
  if (!q.coverage) return v;
  // Shares of accounts are counted on accounts. The module's sums say the same; this is the last look.
  v.share = q.coverage->in_share();
  v.whole = whole && q.coverage->whole();
  const ClassSettings& c = settings_.classes[q.spec.query_class];
  if (whole != v.whole || v.share < c.floor - kShareSlack) {
    log_("an answer of less than it is called");
    if (v.share < c.floor - kShareSlack) return {.why = "the answer held less than its least share"};
  }
  std::sort(v.rows.begin(), v.rows.end(),
            [](const Row& a, const Row& b) { return a.span.from < b.span.from; });
  return v;
}

}  // namespace winchhall::core
