// The open queries: placement, retries and the final answer of each.
#pragma once

#include <deque>

#include "aggregator/decision/server_pool.hpp"

namespace winchhall::detail {

// Invariants: a query gets one final action and no SendPart after it; `ended` marks that. An ended query
// stays in the table until all its attempts have ended. Not thread-safe.
class QueryTable : public ServerPool {
 protected:
  using ServerPool::ServerPool;

  // Rule: the retry budget, counted over an exact sliding window. True if one more retry fits.
  bool retry_budget_allows() {
    if (!settings_.budget) return true;
    while (!accepted_.empty() && accepted_.front().first <= now_ - settings_.budget_window) {
      accepted_in_window_ -= accepted_.front().second;
      accepted_.pop_front();
    }
    while (!retries_.empty() && retries_.front() < now_ - settings_.budget_window) retries_.pop_front();
    return retries_.size() + 1 <= settings_.budget_free + settings_.budget_share * accepted_in_window_;
  }

  // Counts requests for the retry budget.
  void record_accepted_requests(std::size_t requests) {
    if (!settings_.budget) return;  // only retry_budget_allows() removes entries
    accepted_in_window_ += accepted_.emplace_back(now_, static_cast<double>(requests)).second;
  }

  // Takes a token for the retry of a late part; false if there is none. First attempts fill the bucket.
  // Without a limit such retries would add load during an overload, which makes more parts late (retry
  // storm). Retries of rejected attempts need no token.
  bool consume_late_retry_token() { return late_retry_tokens_ >= 1 && late_retry_tokens_-- > 0; }

  // Rule: no duplicate execution beyond what the class's idempotency allows. True: may be sent now.
  bool retry_allowed(const Part& p, const ClassSettings& c) const {
    if (p.has_attempt_in_flight() || p.attempt_count() >= p.max_attempts) return false;
    if (p.first_possible_run == kInfinity || c.idempotency == Idempotency::safe) return true;
    return c.idempotency == Idempotency::keyed && now_ < retry_until(p, c);
  }
  // End of the deduplication window of a `keyed` part.
  Millis retry_until(const Part& p, const ClassSettings& c) const {
    return p.first_possible_run + c.idempotency_window - settings_.tick;
  }

  // Time up to which an answer still has value to the client.
  Millis useful_until(const Query& q) const {
    return settings_.classes[q.query_class].late_value > 0 ? q.give_up_at - tick_interval_
                                                           : q.target_at - margin();
  }
  // Time in ms before a deadline that is reserved for late delivery of events.
  Millis margin() const { return 2 * settings_.tick; }

  // Adds an attempt at the best replica and charges its cost there; doesn't send it. False if there is no
  // eligible replica of at most `max_health_rank`.
  bool place(Part& p, int c, int max_health_rank = 3) {
    int server = choose(p, c, max_health_rank);
    if (server < 0) return false;
    Server& s = servers_[server];
    p.attempts.push_back({server, now_, p.hint, s.outstanding_cost + load(s, c) + p.hint});
    s.outstanding_cost += p.hint;
    s.in_flight_since.insert(now_);
    if (is_warming_up(s) && settings_.overload_multiple > 0) {
      p.attempts.back().warm_up_send = ++last_warm_up_send_;
      s.warm_up_window.add(last_warm_up_send_, now_, warm_up_work(c, p.hint));
    }
    return true;
  }

  // Removes an attempt's cost from its server's outstanding cost.
  void release(Attempt& a) {
    Server& s = servers_[a.server];
    a.in_flight = false;
    s.warm_up_window.on_attempt_ended(a.warm_up_send, now_);
    s.outstanding_cost = std::max(0.0, s.outstanding_cost - a.cost);
    if (auto it = s.in_flight_since.find(a.sent); it != s.in_flight_since.end()) s.in_flight_since.erase(it);
    if (s.in_flight_since.empty()) s.outstanding_cost = 0;  // drops accumulated rounding errors
  }

  // Reverts place() for an attempt that wasn't sent.
  void undo_placement(Part& p, bool is_spare = false) {
    const Attempt& attempt = p.attempts.back();
    servers_[attempt.server].warm_up_window.remove(attempt.warm_up_send);
    release(p.attempts.back());
    p.attempts.pop_back();
    p.is_spare |= is_spare;
  }

  // Sends the attempt added by place().
  void send(Query& q, Part& p) {
    Attempt& a = p.attempts.back();
    Server& s = servers_[a.server];
    const ClassSettings& c = settings_.classes[q.query_class];
    if (p.attempt_count() > 1 && settings_.budget) retries_.push_back(now_);
    if (p.attempt_count() == 1)
      late_retry_tokens_ =
          std::min(late_retry_tokens_ + kLateRetryShare, std::max(kMaxLateRetryTokens, max_parts_));
    Millis timeout = useful_until(q) - now_;
    if (!settings_.may_cancel && c.idempotency == Idempotency::safe)
      timeout = std::min(timeout, late_after(q.query_class));
    ++q.outstanding;
    Millis by = list_freshness_.sendable_until(s.proved_ready_at);
    if (p.first_possible_run < kInfinity && c.idempotency != Idempotency::safe)
      by = std::min(by, retry_until(p, c));
    act(SendPart{p.id, s.id, std::max(timeout, 1.0), by});
  }

  // Sends one attempt if idempotency, retry budget and remaining time allow it. False if none was sent: the
  // part has to wait, or is dead.
  bool try_part(Query& q, Part& p) {
    const ClassSettings& c = settings_.classes[q.query_class];
    if (p.has_attempt_in_flight() || p.done) return false;
    p.dead |= !retry_allowed(p, c);
    if (p.dead) return false;
    if (useful_until(q) - now_ < kMinUsefulShare * class_statistics_[q.query_class].response.mean)
      return false;
    if (q.serial && q.outstanding > 0) return false;
    if (p.attempt_count() > 0 && !retry_budget_allows()) return false;
    // Doesn't spend a quick retry on a server that is ejected for immediate failures.
    bool soon = !p.attempts.empty() && now_ - p.attempts.back().sent < kBaseEjectionTime;
    if (!place(p, q.query_class, soon ? 2 : 3)) return false;
    p.is_spare = false;
    send(q, p);
    return true;
  }

  void on(const QueryArrived& e) {
    record_accepted_requests(1 + e.parts.size());
    auto [it, is_new] = query_numbers_.try_emplace(e.query, next_query_);
    if (!is_new) return;
    Query& q = queries_[next_query_++];
    q.id = e.query;
    q.query_class = std::clamp(e.query_class, 0, static_cast<int>(settings_.classes.size()) - 1);
    q.give_up_at = std::isfinite(e.give_up_at) ? e.give_up_at : now_;
    q.target_at =
        std::min(now_ + settings_.classes[q.query_class].latency_target, q.give_up_at - tick_interval_);
    q.key = e.key;
    add_parts(it->second, e.parts);
    if (q.key && rejected_keys_.count(*q.key)) return give_up(q, true);
    q.serial = now_ < class_statistics_[q.query_class].suspect_until;
    place_step(q);
  }

  void on(const PartsAdded& e) {
    record_accepted_requests(e.parts.size());
    auto it = query_numbers_.find(e.query);
    if (it == query_numbers_.end() || !queries_[it->second].awaiting_step) return;
    Query& q = queries_[it->second];
    q.awaiting_step = false;
    q.step = 2;
    add_parts(it->second, e.parts);
    place_step(q);
  }

  void add_parts(int number, const std::vector<PartSpec>& specs) {
    Query& q = queries_[number];
    max_parts_ = std::max(max_parts_, static_cast<double>(specs.size()));
    for (const PartSpec& spec : specs) {
      Part p;
      p.query = number;
      p.step = q.step;
      add_part(q, p, spec, record_hint(q.query_class, spec.hint));
    }
  }

  void add_part(Query& q, Part p, const PartSpec& spec, double hint) {
    p.id = spec.part;
    p.shard = spec.shard;
    p.weight = is_finite_nonnegative(spec.weight) ? spec.weight : 0;
    p.hint = hint;
    p.holders = spec.holders;
    if (p.max_attempts == 0) p.max_attempts = std::max(1, settings_.max_attempts);
    q.slack = std::min(q.slack, std::max(p.weight / 2, kMinWeightSlack));
    q.weight_sum[p.step == 2] += p.weight;
    if (parts_.emplace(spec.part, std::move(p)).second) q.parts.push_back(spec.part);
  }

  // The parts of the query's current step.
  std::vector<Part*> step_parts(const Query& q) {
    std::vector<Part*> list;
    for (const std::string& id : q.parts)
      if (Part& p = parts_.at(id); p.step == q.step) list.push_back(&p);
    return list;
  }

  // Weight that makes the step complete; at most the sum of its parts' weights, which may round below 1.
  double needed(const Query& q) const {
    return std::min(q.step == 2 ? 1.0 : settings_.classes[q.query_class].complete_share,
                    q.weight_sum[q.step == 2]);
  }

  // Default placement of a step's parts.
  void place_step(Query& q) {
    std::vector<Part*> list = step_parts(q);
    std::stable_sort(list.begin(), list.end(), [](Part* a, Part* b) { return a->hint > b->hint; });
    double placed = 0;
    for (Part* p : list)
      if (place(*p, q.query_class)) placed += p->weight;
    // If not all parts are needed, those expected to finish last are held in reserve as spares.
    std::stable_sort(list.begin(), list.end(), [](Part* a, Part* b) {
      return (a->has_attempt_in_flight() ? a->attempts.back().cost_ahead : kNever) >
             (b->has_attempt_in_flight() ? b->attempts.back().cost_ahead : kNever);
    });
    const ClassSettings& c = settings_.classes[q.query_class];
    // Uses the pool's rate only: a server's own response ratio already includes the queueing at the time of
    // its samples.
    auto time_for = [&](const Part& p) { return p.attempts.back().cost_ahead * queue_response_ratio(); };
    if (c.min_share < needed(q) && !list.empty() && list[0]->has_attempt_in_flight() &&
        time_for(*list[0]) > kOverloadTimeShare * (useful_until(q) - now_))
      placed = reduce_to_min_share(q, list, placed);
    double slowest = 0;
    for (Part* p : list) {
      if (!p->has_attempt_in_flight()) continue;
      if (q.serial && p != list.back()) {
        undo_placement(*p);
      } else if (placed - p->weight >= needed(q) - q.slack) {
        placed -= p->weight;
        undo_placement(*p, true);
      } else {
        slowest = std::max(slowest, time_for(*p));
      }
    }
    // Load shedding: a query that can't finish in time is rejected before anything is sent.
    if (q.step == 1 && q.outstanding == 0 && too_late(q, slowest)) {
      for (Part* p : list)
        if (p->has_attempt_in_flight()) undo_placement(*p);
      return give_up(q, false);
    }
    for (Part* p : list)
      if (p->has_attempt_in_flight()) send(q, *p);
    finish_if_possible(q);
  }

  // Deviation, where a partial answer is allowed and queueing takes most of the remaining time: turns the
  // parts with the lowest weight per cost into spares, down to the class's minimum share. Returns what is
  // placed.
  double reduce_to_min_share(Query& q, std::vector<Part*> list, double placed) {
    std::sort(list.begin(), list.end(),
              [](Part* a, Part* b) { return a->weight * b->hint < b->weight * a->hint; });
    q.reduced = true;
    for (Part* p : list)
      if (p->has_attempt_in_flight() && placed - p->weight >= settings_.classes[q.query_class].min_share) {
        placed -= p->weight;
        undo_placement(*p, true);
      }
    return placed;
  }

  // Load shedding threshold. The larger the recent share of unserved queries, the larger the safety margin:
  // a query that ends late takes capacity from those that could be served.
  bool too_late(const Query& q, double time) const {
    double devs = std::clamp((unserved_.mean(now_, 0) - kLowUnservedShare) / kLowUnservedShare, 0.0, 1.0);
    return time * std::exp(devs * log_queue_ratio_dev_.mean(now_, 0)) > useful_until(q) - now_;
  }

  // Recent response time per ms of cost ahead; initially that of a server with kMinServerCores.
  double queue_response_ratio() const { return std::exp(log_queue_ratio_.mean(now_, 0)) / kMinServerCores; }

  // Answers or fails the query as soon as the parts received, and those still possible, decide it.
  void finish_if_possible(Query& q) {
    if (q.ended || q.awaiting_step) return;
    const ClassSettings& c = settings_.classes[q.query_class];
    double received = 0, possible = 0, requested = 0;
    std::vector<Part*> list = step_parts(q);
    for (Part* p : list) {
      if (p->done) received += p->weight;
      if (!p->has_attempt_in_flight() && !p->done && !retry_allowed(*p, c)) p->dead = true;
      if (!p->dead) possible += p->weight;
      if (!p->dead && !p->is_spare) requested += p->weight;
    }
    double complete = needed(q) - q.slack, least = std::min(c.min_share, needed(q)) - q.slack;
    if (list.empty() && q.step == 1) return give_up(q, false);
    if (received >= complete) return answer(q, q.first_step_complete);
    double goal = q.reduced ? least : complete;
    for (Part* p : list)  // spares replace dead parts
      if (requested < goal && p->is_spare && !p->dead && try_part(q, *p)) requested += p->weight;
    // Deviation: near its deadline a partial answer, marked as such, is preferred to waiting on.
    double partial = c.min_share < c.complete_share ? c.partial_value * received / needed(q) : 0;
    bool may_answer = c.min_share < needed(q) && received >= least && received > 0;
    bool at_target = now_ >= q.target_at - margin() - tick_interval_;
    if (q.reduced) possible = requested;
    bool cannot_complete = possible < complete;
    bool overdue = now_ >= useful_until(q) - tick_interval_;
    if (may_answer && (overdue || (at_target && partial > c.late_value) ||
                       (cannot_complete && received >= possible - q.slack)))
      return answer(q, false);
    if (overdue || (cannot_complete && (c.min_share >= needed(q) || possible < least))) give_up(q, true);
  }

  // Answers with the parts received. The query stays open if its second step is still to come.
  void answer(Query& q, bool complete) {
    act(AnswerQuery{q.id, complete});
    unserved_.add(0, now_);
    q.first_step_complete = complete;
    q.awaiting_step = q.step == 1 && settings_.classes[q.query_class].second_step_parts > 0;
    if (!q.awaiting_step) close(q);
  }

  // Gives a query up: it is rejected if the client's retry is safe and can still be in time, else failed.
  // `was_sent` is false for a query that is shed on arrival: it is rejected even if it is past its target.
  void give_up(Query& q, bool was_sent) {
    const ClassSettings& c = settings_.classes[q.query_class];
    bool retry_is_safe = q.step == 1;
    unserved_.add(1, now_);
    for (const std::string& id : q.parts)
      if (const Part& p = parts_.at(id);
          p.first_possible_run < kInfinity || p.has_attempt_in_flight() || p.done)
        retry_is_safe &= c.idempotency == Idempotency::safe;
    bool past = was_sent && now_ >= q.target_at - margin() - tick_interval_;
    if (retry_is_safe && !past)
      act(RefuseQuery{
          q.id, settings_.honors_retry_after ? std::min(settings_.max_retry_after, c.latency_target) : 0});
    else
      act(FailQuery{q.id});
    close(q);
  }

  // Closes a query after its final action. Rule: nothing is sent from then on; attempts in flight are
  // cancelled, and the query is kept until they have ended.
  void close(Query& q) {
    q.ended = true;
    q.awaiting_step = false;
    if (!settings_.may_cancel) return;
    for (const std::string& id : q.parts) cancel(parts_.at(id));
  }

  // Cancels the attempts of a part that are in flight and whose response isn't being streamed yet.
  void cancel(Part& p) {
    for (Attempt& a : p.attempts)
      if (a.in_flight && !a.started && !std::exchange(a.cancel_requested, true))
        act(CancelAttempt{p.id, static_cast<int>(&a - p.attempts.data())});
  }

  // Removes ended queries without attempts in flight.
  void forget_closed() {
    std::erase_if(queries_, [&](const auto& numbered) {
      const Query& q = numbered.second;
      if (!q.ended || q.outstanding > 0) return false;
      for (const std::string& id : q.parts) parts_.erase(id);
      query_numbers_.erase(q.id);
      return true;
    });
  }

  void on(const QueryWithdrawn& e) {
    auto it = query_numbers_.find(e.query);
    if (it != query_numbers_.end() && !queries_[it->second].ended) close(queries_[it->second]);
  }

  double late_retry_tokens_ = kMaxLateRetryTokens;
  double max_parts_ = 0;          // largest number of parts of a query so far
  DecayingMean unserved_;         // recent share of queries without an answer
  std::map<int, Query> queries_;  // by number, in order of arrival
  std::map<std::string, int> query_numbers_;
  std::map<std::string, Part> parts_;
  int next_query_ = 0;
  std::map<std::uint64_t, Millis> rejected_keys_;  // keys of queries that crashed servers: since when
  // Retry budget: (time, requests) accepted within the window, their sum, and the times of retries.
  std::deque<std::pair<Millis, double>> accepted_;
  double accepted_in_window_ = 0;
  std::deque<Millis> retries_;
};

}  // namespace winchhall::detail
