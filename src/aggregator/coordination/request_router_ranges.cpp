// RequestRouter: queries over account ranges. They are planned against the range map and replanned when
// ranges are split, merged or moved.
#include <algorithm>
#include <utility>

#include "aggregator/coordination/query_validation.hpp"
#include "aggregator/coordination/request_router.hpp"

namespace winchhall::coordination {

using namespace winchhall;
using ranges::Decision;
using ranges::OpenPart;
using ranges::PlannedPart;
using ranges::RangeMap;

namespace {
// Time in ms that a part waits for the range directory after its server reported a newer map: one round trip
// on a slow link. Other replicas under the old map would most likely reject the part too, and each rejection
// costs an attempt.
constexpr Millis kDirectoryTimeout = 150;
constexpr double kShareSlack = 1e-4;  // rounding tolerance for sums of shares
}  // namespace

RequestRouter::PartState RequestRouter::span_part(PlannedPart planned) {
  PartState p{.spec = {0, planned.weight, planned.hint}};
  p.span = std::make_unique<SpanPart>();
  p.span->planned = std::move(planned);
  return p;
}

std::string RequestRouter::plan(QueryState& q, bool& retry_may_succeed) {
  std::string why;
  auto plan = ranges::plan(map_, q.spec.spans, q.spec.hint, kMaxParts, why);
  retry_may_succeed = map_.empty();
  if (!plan) return why;
  q.parts.reserve(plan->parts.size());
  for (PlannedPart& p : plan->parts) q.parts.push_back(span_part(std::move(p)));
  q.coverage = std::move(plan->coverage);
  return "";
}

void RequestRouter::update_ranges(RangeMap map) {
  event_queue_.push_back([this, m = std::move(map)] {
    map_ = m;
    for (auto& [number, q] : queries_)
      // A query that the coordinator hasn't received yet is replanned after its QueryArrived event;
      // replanning it here would leave the coordinator with parts and their successors.
      if (q.on_complete && q.coverage && q.delivered_to_coordinator) replan(number);
  });
}

OpenPart RequestRouter::open_part(const QueryState& q, std::size_t part) {
  const SpanPart& p = *q.parts[part].span;
  return {part, p.in_flight > 0, p.planned};
}

void RequestRouter::replan(QueryNumber number) {
  QueryState& q = queries_.at(number);
  std::vector<OpenPart> open;
  for (std::size_t i = 0; i < q.parts.size(); ++i)
    if (!q.parts[i].received && !q.parts[i].span->replaced) open.push_back(open_part(q, i));
  if (open.empty()) return;
  for (const Decision& d : ranges::replan(map_, *q.coverage, std::move(open))) {
    if (!q.on_complete) return;  // ended by the coordinator meanwhile
    apply_decision(number, d);
  }
}

void RequestRouter::apply_decision(QueryNumber number, const Decision& d) {
  QueryState& q = queries_.at(number);
  SpanPart& p = *q.parts[d.parts[0]].span;
  switch (d.kind) {
    case Decision::Kind::keep:
      if (p.on_hold) set_holders(number, d.parts[0], false);
      return;
    case Decision::Kind::defer: {
      range_migrations_.on_hold += !p.on_hold;
      p.on_hold = true;
      // The replicas of its successors. While the attempt is in flight, the coordinator uses them only to
      // decide whether to abandon an unresponsive server.
      HoldersChanged e{part_id(number, d.parts[0]), {}};
      for (const PlannedPart& s : d.successors)
        for (std::string& server : ranges::serving_servers(*s.holders))
          if (std::find(e.holders.begin(), e.holders.end(), server) == e.holders.end())
            e.holders.push_back(std::move(server));
      return handle(e);
    }
    case Decision::Kind::reassign:
      ++range_migrations_.rerouted;
      p.planned = d.successors[0];
      return set_holders(number, d.parts[0], false);
    case Decision::Kind::replace:
    case Decision::Kind::merge:
      // An earlier decision of the same replan() may have caused an attempt (for a spare), and the
      // coordinator ignores the replacement of parts in flight. These are replanned when their attempts end.
      if (std::any_of(d.parts.begin(), d.parts.end(),
                      [&](std::size_t i) { return q.parts[i].span->in_flight > 0; })) {
        for (std::size_t i : d.parts) q.parts[i].span->on_hold |= q.parts[i].span->in_flight > 0;
        return;
      }
      ++(d.kind == Decision::Kind::merge ? range_migrations_.merged : range_migrations_.replaced);
      return replace_parts(number, d);
  }
}

void RequestRouter::set_holders(QueryNumber number, std::size_t part, bool on_hold) {
  SpanPart& p = *queries_.at(number).parts[part].span;
  p.on_hold = on_hold;
  HoldersChanged e{part_id(number, part), {}};
  if (!on_hold) e.holders = ranges::serving_servers(*p.planned.holders);
  handle(e);
}

void RequestRouter::replace_parts(QueryNumber number, const Decision& d) {
  QueryState& q = queries_.at(number);
  PartsReplaced e;
  for (std::size_t part : d.parts) {
    q.parts[part].span->replaced = true;
    e.parts.push_back(part_id(number, part));
  }
  for (const PlannedPart& s : d.successors) {
    e.successors.push_back(
        {part_id(number, q.parts.size()), 0, s.weight, s.hint, ranges::serving_servers(*s.holders)});
    q.parts.push_back(span_part(s));
    ++q.counted_items;
    ++open_items_;
  }
  handle(e);
}

// Handles a server's rejection of a part whose range it doesn't own. Called twice: before the coordinator
// gets AttemptEnded (`coordinator_notified` false), to update the part's replicas, and after it, to replace
// the part by successors.
void RequestRouter::handle_denial(QueryNumber number, std::size_t part, const AttemptResult& r,
                                  bool coordinator_notified) {
  QueryState& q = queries_.at(number);
  if (!q.on_complete) return;
  auto answer = ranges::handle_denial(map_, *q.coverage, open_part(q, part), *r.denial);
  if (coordinator_notified) {
    if (answer.decision && answer.decision->kind == Decision::Kind::replace)
      apply_decision(number, *answer.decision);
    return;
  }
  ++range_migrations_.denied;
  if (answer.refresh_directory && range_source_) range_source_->refresh();
  if (answer.decision && answer.decision->kind == Decision::Kind::reassign)
    return apply_decision(number, *answer.decision);
  bool wait = answer.refresh_directory && r.denial->revision > map_.revision() && range_source_;
  if (!answer.decision && !wait) return;  // retried at another replica, or later at the same
  set_holders(number, part, true);
  if (!answer.decision) directory_deadlines_.insert({clock_() + kDirectoryTimeout, {number, part}});
}

// Called after the coordinator got AttemptEnded: replaces the part if its range has changed.
void RequestRouter::replan_after_attempt(QueryState& q, const AttemptState& a, bool denies,
                                         const AttemptResult& r) {
  const PartState& p = q.parts[a.part];
  if (!q.on_complete || p.received || p.span->replaced) return;
  if (denies && p.span->in_flight == 0) return handle_denial(a.query, a.part, r, true);
  // Its range was split or merged during the attempt, which brought no answer: its successors are requested.
  if (p.span->on_hold) replan(a.query);
}

// Records the end of an attempt in the query's coverage; returns true if its answer is accepted. An answer
// that overlaps accepted ones is changed into an error, so that no account is counted twice.
bool RequestRouter::accept_span_answer(QueryState& q, const AttemptState& a, AttemptResult& r) {
  SpanPart& p = *q.parts[a.part].span;
  if (r.outcome != Outcome::ok) {
    if (p.in_flight == 0) q.coverage->on_attempt_failed(p.planned.span);
    return false;
  }
  if (q.coverage->add_answer(p.planned.span)) return true;
  ++range_migrations_.dropped;
  std::string received;
  for (const ranges::Span& span : q.coverage->answered().spans()) received += " " + ranges::text_of(span);
  log_("answer dropped, it overlaps accounts already received: query " + q.spec.id + " part " +
       std::to_string(a.part) + " " + ranges::text_of(p.planned.span) + ", received" + received);
  r.outcome = Outcome::error;
  return false;
}

QueryResult RequestRouter::answer(const QueryState& q, bool complete) const {
  QueryResult v{.kind = QueryResult::Kind::answered, .complete = complete};
  for (const PartState& p : q.parts)
    if (p.received) {
      v.share += p.spec.weight;
      v.rows.push_back({p.spec.shard, p.values, {}, {}});
      if (!p.span) continue;
      v.rows.back().span = p.span->planned.span;
      v.rows.back().revision = p.span->requested_revision;
    }
  if (!q.coverage) return v;
  // Safety net: checks the coordinator's result against the account ranges actually received.
  v.share = q.coverage->answered_share();
  v.complete = complete && q.coverage->complete();
  const ClassSettings& c = settings_.classes[q.spec.query_class];
  if (complete != v.complete || v.share < c.min_share - kShareSlack) {
    log_("answer covers less than the coordinator reported: query " + q.spec.id);
    if (v.share < c.min_share - kShareSlack) return {.why = "the answer held less than its least share"};
  }
  std::sort(v.rows.begin(), v.rows.end(),
            [](const PartialResult& a, const PartialResult& b) { return a.span.from < b.span.from; });
  return v;
}

}  // namespace winchhall::coordination
