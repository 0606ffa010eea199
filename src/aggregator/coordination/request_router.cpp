#include "aggregator/coordination/request_router.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "aggregator/coordination/query_validation.hpp"

namespace winchhall::coordination {

using namespace winchhall;

RequestRouter::RequestRouter(Settings settings, std::uint64_t seed, std::function<Millis()> clock,
                             std::function<void(const std::string&)> log)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      coordinator_(settings_, seed, clock_()),
      classes_(settings_.classes) {
  assign_counters();
}

void RequestRouter::attach(Transport& transport, MembershipSource& members, RangeSource* range_source) {
  transport_ = &transport;
  members_ = &members;
  range_source_ = range_source;
}

void RequestRouter::start(const std::vector<Member>& known) {
  event_queue_.push_back([this] {
    for (const Action& a : coordinator_.start()) execute(a);
  });
  update_endpoints(ServerList::Kind::cached, known);
  run();
}

// ---- Client side

QueryNumber RequestRouter::submit(QuerySpec spec, CompletionCallback on_complete) {
  QueryNumber number = next_query_++;
  QueryState& q = queries_[number];
  q.arrived = clock_();
  q.on_complete = std::move(on_complete);
  q.text = std::make_shared<const std::string>(std::move(spec.text));
  q.parts.reserve(spec.parts.size());
  for (const QueryPart& p : spec.parts) q.parts.push_back({.spec = p});
  q.spec = std::move(spec);
  QueryCounters& f = counters_for(q.spec.query_class);
  ++f.received;
  f.value_requested += settings_.classes[q.spec.query_class].value;
  ++open_queries_;
  classes_.opened(q.spec.query_class);
  // Above Settings::max_open a query is rejected without reaching the coordinator.
  bool full = settings_.max_open > 0 && open_items_ >= static_cast<std::size_t>(settings_.max_open);
  bool retry_may_succeed = true;
  std::string why = full ? "as many queries as may be held are open" : "";
  if (!full && !q.spec.spans.empty()) why = plan(q, retry_may_succeed);
  q.counted_items = 1 + q.parts.size();
  open_items_ += q.counted_items;
  if (!why.empty()) {
    event_queue_.push_back([this, number, retry_may_succeed, why] {
      finish(number, {.kind = retry_may_succeed ? QueryResult::Kind::refused : QueryResult::Kind::invalid,
                      .retry_after = settings_.honors_retry_after ? settings_.max_retry_after : 0,
                      .why = why});
    });
    return number;
  }
  query_ends_.insert({q.spec.give_up_at, number});
  event_queue_.push_back([this, number] {
    auto it = queries_.find(number);
    if (it == queries_.end() || !it->second.on_complete) return;
    QueryState& state = it->second;
    state.delivered_to_coordinator = true;
    QueryArrived e;
    e.query = std::to_string(number);
    e.query_class = state.spec.query_class;
    e.tenant = state.spec.tenant;
    e.give_up_at = state.spec.give_up_at;
    e.is_retry = state.spec.is_retry;
    e.key = state.spec.key;
    e.parts.reserve(state.parts.size());
    for (std::size_t i = 0; i < state.parts.size(); ++i) {
      const QueryPart& p = state.parts[i].spec;
      e.parts.push_back({part_id(number, i), p.shard, p.weight, p.hint, {}});
      if (const auto& span = state.parts[i].span)
        e.parts.back().holders = ranges::serving_servers(*span->planned.holders);
    }
    handle(std::move(e));
    // The range map may have changed since planning, when update_ranges() skipped this query.
    if (state.coverage && state.on_complete && state.parts[0].span->planned.revision != map_.revision())
      replan(number);
  });
  return number;
}

void RequestRouter::withdraw(QueryNumber number) {
  event_queue_.push_back([this, number] {
    auto it = queries_.find(number);
    if (it == queries_.end() || !it->second.on_complete) return;
    ++counters_for(it->second.spec.query_class).withdrawn;
    it->second.on_complete = nullptr;
    --open_queries_;
    open_items_ -= it->second.counted_items;
    query_ends_.erase({it->second.spec.give_up_at, number});
    handle(QueryWithdrawn{std::to_string(number)});
    recall_unsent(number);
    forget_if_finished(number);
  });
}

// ---- Server side

void RequestRouter::attempt_ended(AttemptNumber attempt, AttemptResult result) {
  event_queue_.push_back(
      [this, attempt, r = std::move(result)]() mutable { finish_attempt(attempt, std::move(r)); });
}

void RequestRouter::probe_ended(const std::string& server, Outcome outcome, Millis elapsed,
                                const Load& load) {
  event_queue_.push_back([this, e = ProbeEnded{server, outcome, elapsed, report(load)}] { handle(e); });
}

void RequestRouter::on_list_keepalive() {
  event_queue_.push_back([this] { handle(ListKeepalive{}); });
}

void RequestRouter::on_list_service_moved() {
  event_queue_.push_back([this] { handle(ListServiceMoved{}); });
}

void RequestRouter::update_endpoints(ServerList::Kind kind, const std::vector<Member>& members, CallEnd end,
                                     long long revision) {
  event_queue_.push_back([this, kind, members, end, revision] {
    if (revision != 0) list_revision_ = revision;
    ServerList e{kind, {}, end};
    for (const Member& m : members) {
      auto [it, is_new] = servers_.try_emplace(m.entry.server);
      Member& known = it->second.member;
      std::optional<Millis> started = known.entry.started;
      bool restarted = m.entry.started && (!started || *m.entry.started > *started);
      // The process was restarted: its old connections may look open but get no answers (half-open TCP).
      if (!is_new && restarted) transport_->retire(m.entry.server);
      known = m;
      if (!restarted) known.entry.started = started;
      it->second.last_list = lists_delivered_;
      e.servers.push_back(m.entry);
    }
    // Drops servers that have left. Their attempts in flight may end; no new ones are sent.
    std::set<std::string> removed;
    for (const Member& m : members)
      if (m.entry.state == ServerState::removed) removed.insert(m.entry.server);
    if (kind == ServerList::Kind::complete || kind == ServerList::Kind::cached)
      for (const auto& [id, known] : servers_)
        if (known.last_list != lists_delivered_) removed.insert(id);
    for (const std::string& id : removed) {
      transport_->retire(id);
      servers_.erase(id);
    }
    ++lists_delivered_;
    // Recalls attempts still waiting for a connection to a server that is now draining or gone.
    std::vector<AttemptNumber> waiting;
    for (const auto& [attempt, state] : attempts_) {
      auto it = servers_.find(state.server);
      if (it == servers_.end() || it->second.member.entry.state != ServerState::ready)
        waiting.push_back(attempt);
    }
    handle(e);
    for (AttemptNumber attempt : waiting) recall(attempt);
  });
}

std::vector<Member> RequestRouter::members() const {
  std::vector<Member> list;
  list.reserve(servers_.size());
  for (const auto& [id, known] : servers_) list.push_back(known.member);
  return list;
}

// ---- Event processing

void RequestRouter::run() {
  if (running_) return;
  running_ = true;
  for (bool again = true; again;) {
    Millis now = clock_();
    // Received events go before due timers, so that an answer already received isn't timed out.
    while (!event_queue_.empty())
      for (auto& event : std::exchange(event_queue_, {})) event();
    while (!attempt_ends_.empty() && attempt_ends_.begin()->first <= now) {
      AttemptNumber attempt = attempt_ends_.begin()->second;
      transport_->abandon(attempt);
      finish_attempt(attempt, {.outcome = Outcome::timeout});
    }
    while (!timers_.empty() && timers_.begin()->first <= now) {
      std::int64_t tag = timers_.begin()->second;
      timers_.erase(timers_.begin());
      handle(TimerFired{tag});
    }
    while (!directory_deadlines_.empty() && directory_deadlines_.begin()->first <= now) {
      auto [number, part] = directory_deadlines_.begin()->second;
      directory_deadlines_.erase(directory_deadlines_.begin());
      auto it = queries_.find(number);
      if (it == queries_.end() || !it->second.on_complete) continue;
      const PartState& p = it->second.parts[part];
      if (p.span->on_hold && !p.span->replaced && !p.received && p.span->in_flight == 0)
        set_holders(number, part, false);
    }
    // Safety net for the one final answer: the coordinator ends its queries before this.
    while (!query_ends_.empty() && query_ends_.begin()->first <= now) {
      QueryNumber number = query_ends_.begin()->second;
      log_("query overdue, failed by the router: no final action of the coordinator");
      finish(number, {});
      handle(QueryWithdrawn{std::to_string(number)});
    }
    again = !event_queue_.empty();
  }
  transport_->flush();
  running_ = false;
}

Millis RequestRouter::next_due() const {
  Millis due = event_queue_.empty() ? std::numeric_limits<double>::infinity() : 0;
  if (!timers_.empty()) due = std::min(due, timers_.begin()->first);
  if (!attempt_ends_.empty()) due = std::min(due, attempt_ends_.begin()->first);
  if (!query_ends_.empty()) due = std::min(due, query_ends_.begin()->first);
  if (!directory_deadlines_.empty()) due = std::min(due, directory_deadlines_.begin()->first);
  return due;
}

void RequestRouter::handle(const Event& event) {
  for (const Action& a : coordinator_.handle(clock_(), event)) execute(a);
}

void RequestRouter::execute(const Action& action) {
  struct {
    RequestRouter& x;
    static QueryNumber number(const std::string& id) { return std::stoull(id); }
    void operator()(const SendPart& a) { x.send(a); }
    void operator()(const CancelAttempt& a) {
      auto [query, part] = x.part_of(a.part);
      auto it = x.queries_.find(query);
      if (it == x.queries_.end()) return;
      AttemptNumber attempt = it->second.parts.at(part).attempts.at(static_cast<std::size_t>(a.attempt));
      if (!x.attempts_.count(attempt)) return;
      x.transport_->abandon(attempt);
      x.attempt_ended(attempt, {.outcome = Outcome::cancelled});
    }
    void operator()(const AnswerQuery& a) {
      auto it = x.queries_.find(number(a.query));
      if (it != x.queries_.end()) x.finish(it->first, x.answer(it->second, a.complete));
    }
    void operator()(const RefuseQuery& a) {
      x.finish(number(a.query), {.kind = QueryResult::Kind::refused, .retry_after = a.retry_after});
    }
    void operator()(const FailQuery& a) { x.finish(number(a.query), {}); }
    void operator()(const SendProbe& a) {
      auto it = x.servers_.find(a.server);
      if (it != x.servers_.end()) x.transport_->probe(a.server, it->second.member.endpoint);
    }
    void operator()(const WatchList& a) { x.members_->watch(a.on); }
    void operator()(const FetchList&) { x.members_->fetch(); }
    void operator()(const CloseIdle& a) { x.transport_->close_idle(a.server); }
    void operator()(const SendToPeers&) {}  // there is no transport between instances
    void operator()(const SetTimer& a) { x.timers_.emplace(a.at, a.tag); }
    void operator()(const LogLine& a) { x.log_(a.text); }
  } visitor{*this};
  std::visit(visitor, action);
}

void RequestRouter::send(const SendPart& a) {
  auto [number, index] = part_of(a.part);
  QueryState& q = queries_.at(number);
  PartState& p = q.parts.at(index);
  AttemptNumber attempt = next_attempt_++;
  Millis now = clock_();
  AttemptState state{number, index, static_cast<int>(p.attempts.size()), a.server, now, now + a.timeout};
  p.attempts.push_back(attempt);
  ++q.in_flight;
  ++counters_for(q.spec.query_class).attempts;
  if (p.span) {
    ++p.span->in_flight;
    p.span->requested_revision = p.span->planned.revision;
    q.coverage->on_sent(p.span->planned.span);
  }
  attempt_ends_.insert({state.until, attempt});
  attempts_[attempt] = state;
  auto known = servers_.find(a.server);
  if (known == servers_.end()) return attempt_ended(attempt, {.outcome = Outcome::unsent, .written = false});
  AttemptRequest request{.attempt = attempt,
                         .server = a.server,
                         .endpoint = known->second.member.endpoint,
                         .shard = p.spec.shard,
                         .until = state.until,
                         .send_by = a.send_by,
                         .text = q.text};
  if (p.span) {
    request.span = p.span->planned.span;
    request.range = p.span->planned.range;
    request.revision = p.span->planned.revision;
  }
  // A part over a range is named by its index, since the parts before and after a split may share a range.
  request.part = q.spec.id + (p.span ? ".r" + std::to_string(index) : "." + std::to_string(p.spec.shard));
  transport_->launch(request);
}

void RequestRouter::finish_attempt(AttemptNumber attempt, AttemptResult r) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;  // already abandoned: a late result is dropped
  AttemptState a = it->second;
  attempts_.erase(it);
  attempt_ends_.erase({a.until, attempt});
  QueryState& q = queries_.at(a.query);
  --q.in_flight;
  if (q.coverage) --q.parts[a.part].span->in_flight;
  bool open = static_cast<bool>(q.on_complete), ok = r.outcome == Outcome::ok;
  if (q.coverage && open) ok = accept_span_answer(q, a, r);
  if (ok && open) {
    q.parts[a.part].received = true;
    q.parts[a.part].values = std::move(r.values);
  }
  bool denies = q.coverage && open && r.outcome == Outcome::not_mine;
  if (denies && !r.denial) r.denial = std::make_shared<const ranges::Denial>();
  if (denies)
    handle_denial(a.query, a.part, r, false);
  else if (q.coverage && q.parts[a.part].span->on_hold && open && !ok)
    set_holders(a.query, a.part, true);  // no attempt under an outdated plan
  handle(AttemptEnded{part_id(a.query, a.part), a.count, a.server, r.outcome, clock_() - a.sent, ok || !open,
                      report(r.load), r.written});
  if (q.coverage) replan_after_attempt(q, a, denies, r);
  forget_if_finished(a.query);
}

void RequestRouter::finish(QueryNumber number, QueryResult v) {
  auto it = queries_.find(number);
  if (it == queries_.end() || !it->second.on_complete) return;
  QueryState& q = it->second;
  const ClassSettings& c = settings_.classes[q.spec.query_class];
  QueryCounters& f = counters_for(q.spec.query_class);
  if (v.kind == QueryResult::Kind::refused) ++f.refused;
  if (v.kind == QueryResult::Kind::failed) ++f.failed;
  if (v.kind == QueryResult::Kind::answered) {
    ++(v.complete ? f.complete : f.partial);
    double value = c.value * (v.complete ? 1 : c.partial_value * v.share / c.complete_share);
    f.value_earned += value * (clock_() - q.arrived <= c.latency_target ? 1 : c.late_value);
  }
  --open_queries_;
  open_items_ -= q.counted_items;
  query_ends_.erase({q.spec.give_up_at, number});
  CompletionCallback on_complete = std::exchange(q.on_complete, nullptr);
  on_complete(std::move(v));
  recall_unsent(number);
  forget_if_finished(number);
}

// Removes a query that has its result and no attempt in flight. Deferred, since the actions being executed
// may still refer to its parts.
void RequestRouter::forget_if_finished(QueryNumber number) {
  auto it = queries_.find(number);
  if (it == queries_.end() || it->second.on_complete || it->second.in_flight > 0) return;
  event_queue_.push_back([this, number] {
    auto late = queries_.find(number);
    if (late == queries_.end() || late->second.on_complete || late->second.in_flight > 0) return;
    classes_.closed(late->second.spec.query_class);
    queries_.erase(late);
  });
}

std::vector<double> RequestRouter::report(const Load& load) const {
  std::vector<double> values;
  for (ReportField field : settings_.report_fields) {
    std::optional<double> v = field == ReportField::queued       ? load.queued
                              : field == ReportField::in_flight  ? load.in_flight
                              : field == ReportField::service_ms ? load.service_ms
                                                                 : std::nullopt;
    values.push_back(v.value_or(-1));  // -1: not reported
  }
  return values;
}

std::string RequestRouter::part_id(QueryNumber number, std::size_t part) {
  return std::to_string(number) + "." + std::to_string(part);
}

std::pair<QueryNumber, std::size_t> RequestRouter::part_of(const std::string& id) const {
  QueryNumber number = 0;
  std::size_t part = 0;
  const char* end = id.data() + id.size();
  auto dot = std::from_chars(id.data(), end, number);
  if (dot.ptr != end) std::from_chars(dot.ptr + 1, end, part);
  return {number, part};
}

}  // namespace winchhall::coordination
