// A query's life: its parts are placed, sent, sent again, and it gets its one final answer.
#pragma once

#include "aggregator/decision/tier.hpp"

namespace winchhall::detail {

class Queries : public Tier {
 protected:
  using Tier::Tier;

  // Rule: the budget of further attempts, over an exact sliding window.
  bool budget_allows() {
    if (!set_.budget) return true;
    while (!taken_.empty() && taken_.front().first <= now_ - set_.budget_window) {
      taken_in_window_ -= taken_.front().second;
      taken_.pop_front();
    }
    while (!further_.empty() && further_.front() < now_ - set_.budget_window) further_.pop_front();
    return further_.size() + 1 <= set_.budget_free + set_.budget_share * taken_in_window_;
  }

  void count_taken(std::size_t requests) {
    if (!set_.budget) return;  // nothing would ever take it out again
    taken_in_window_ += taken_.emplace_back(now_, static_cast<double>(requests)).second;
  }

  // Guards against lateness that feeds itself: a part moved or copied because late adds load when there is
  // too much, so first attempts pay for those. What was turned away never ran.
  bool spare_load() { return moves_saved_ >= 1 && moves_saved_-- > 0; }

  // Rule: no effect twice. May this part be sent (again) now?
  bool repeat_allowed(const Part& p, const ClassSettings& c) const {
    if (p.out() || p.tries() >= p.most) return false;
    if (p.first_maybe == kEver || c.repeat == Repeat::safe) return true;
    return c.repeat == Repeat::keyed && now_ < repeat_until(p, c);
  }
  Millis repeat_until(const Part& p, const ClassSettings& c) const {
    return p.first_maybe + c.repeat_window - set_.tick;
  }

  // The time until which an answer of this query still earns something.
  Millis useful_until(const Query& q) const {
    return set_.classes[q.query_class].late_worth > 0 ? q.give_up_at - pulse_ : q.aim_at - margin();
  }
  Millis margin() const { return 2 * set_.tick; }

  // Reserves the best replica for a part; the sum includes it from here on.
  bool place(Part& p, int c, int most_distrust = 3) {
    int server = choose(p, c, most_distrust);
    if (server < 0) return false;
    Server& s = servers_[server];
    p.attempts.push_back({server, now_, p.hint, s.sum + load(s, c) + p.hint});
    s.sum += p.hint;
    s.out_since.insert(now_);
    if (warms_up(s)) s.cold_sent.emplace_back(now_, std::max(p.hint, mean_hint(c)));
    return true;
  }

  void release(Attempt& a) {
    Server& s = servers_[a.server];
    a.out = false;
    s.sum = std::max(0.0, s.sum - a.cost);
    if (auto it = s.out_since.find(a.sent); it != s.out_since.end()) s.out_since.erase(it);
    if (s.out_since.empty()) s.sum = 0;  // no rounding is carried on
  }

  void unplace(Part& p, bool spare = false) {
    Server& s = servers_[p.attempts.back().server];
    if (!s.cold_sent.empty() && s.cold_sent.back().first == now_) s.cold_sent.pop_back();
    release(p.attempts.back());
    p.attempts.pop_back();
    p.spare |= spare;
  }

  void send(Query& q, Part& p) {
    Attempt& a = p.attempts.back();
    Server& s = servers_[a.server];
    const ClassSettings& c = set_.classes[q.query_class];
    if (p.tries() > 1 && set_.budget) further_.push_back(now_);
    if (p.tries() == 1) moves_saved_ = std::min(moves_saved_ + kMoveShare, std::max(kMoveMost, most_parts_));
    Millis timeout = useful_until(q) - now_;
    if (!set_.may_cancel && c.repeat == Repeat::safe) timeout = std::min(timeout, patience(q.query_class));
    ++q.outstanding;
    Millis by = list_clock_.write_by(s.proved_at);
    if (p.first_maybe < kEver && c.repeat != Repeat::safe) by = std::min(by, repeat_until(p, c));
    act(SendPart{p.id, s.id, std::max(timeout, 1.0), by});
  }

  // One further attempt, if rule, budget and time allow; false if the part must wait or is dead.
  bool try_part(Query& q, Part& p) {
    const ClassSettings& c = set_.classes[q.query_class];
    if (p.out() || p.done) return false;
    p.dead |= !repeat_allowed(p, c);
    if (p.dead) return false;
    if (useful_until(q) - now_ < kLeastFit * learned_[q.query_class].response.mean) return false;
    if (q.cautious && q.outstanding > 0) return false;
    if (p.tries() > 0 && !budget_allows()) return false;
    // A further attempt is not spent on a server that fails at once before it had time to mend.
    bool soon = !p.attempts.empty() && now_ - p.attempts.back().sent < kRest;
    if (!place(p, q.query_class, soon ? 2 : 3)) return false;
    p.spare = false;
    send(q, p);
    return true;
  }

  void on(const QueryArrived& e) {
    count_taken(1 + e.parts.size());
    auto [it, fresh] = query_numbers_.try_emplace(e.query, next_query_);
    if (!fresh) return;
    Query& q = queries_[next_query_++];
    q.id = e.query;
    q.query_class = std::clamp(e.query_class, 0, static_cast<int>(set_.classes.size()) - 1);
    q.give_up_at = std::isfinite(e.give_up_at) ? e.give_up_at : now_;
    q.aim_at = std::min(now_ + set_.classes[q.query_class].aim, q.give_up_at - pulse_);
    q.key = e.key;
    take_parts(it->second, e.parts);
    if (q.key && condemned_.count(*q.key)) return end(q, true);
    q.cautious = now_ < learned_[q.query_class].wary_until;
    place_step(q);
  }

  void on(const PartsAdded& e) {
    count_taken(e.parts.size());
    auto it = query_numbers_.find(e.query);
    if (it == query_numbers_.end() || !queries_[it->second].awaiting_step) return;
    Query& q = queries_[it->second];
    q.awaiting_step = false;
    q.step = 2;
    take_parts(it->second, e.parts);
    place_step(q);
  }

  void take_parts(int number, const std::vector<PartSpec>& specs) {
    Query& q = queries_[number];
    most_parts_ = std::max(most_parts_, static_cast<double>(specs.size()));
    for (const PartSpec& spec : specs) {
      Part p;
      p.query = number;
      p.step = q.step;
      add_part(q, p, spec, take_hint(q.query_class, spec.hint));
    }
  }

  void add_part(Query& q, Part p, const PartSpec& spec, double hint) {
    p.id = spec.part;
    p.shard = spec.shard;
    p.weight = sound(spec.weight) ? spec.weight : 0;
    p.hint = hint;
    p.holders = spec.holders;
    if (p.most == 0) p.most = std::max(1, set_.max_attempts);
    q.slack = std::min(q.slack, std::max(p.weight / 2, kLeastSlack));
    q.given[p.step == 2] += p.weight;
    if (parts_.emplace(spec.part, std::move(p)).second) q.parts.push_back(spec.part);
  }

  std::vector<Part*> step_parts(const Query& q) {
    std::vector<Part*> list;
    for (const std::string& id : q.parts)
      if (Part& p = parts_.at(id); p.step == q.step) list.push_back(&p);
    return list;
  }

  double need(const Query& q) const {  // all parts in is whole, however rounded: no more than they make
    return std::min(q.step == 2 ? 1.0 : set_.classes[q.query_class].need, q.given[q.step == 2]);
  }

  // The ordinary path.
  void place_step(Query& q) {
    std::vector<Part*> list = step_parts(q);
    std::stable_sort(list.begin(), list.end(), [](Part* a, Part* b) { return a->hint > b->hint; });
    double placed = 0;
    for (Part* p : list)
      if (place(*p, q.query_class)) placed += p->weight;
    // Where any so many parts suffice, those that would come last are kept back as spares for failures.
    std::stable_sort(list.begin(), list.end(), [](Part* a, Part* b) {
      return (a->out() ? a->attempts.back().ahead : kNever) > (b->out() ? b->attempts.back().ahead : kNever);
    });
    const ClassSettings& c = set_.classes[q.query_class];
    // Work ahead at the tier's pace alone: a server's pace was learned with its queue of then in it.
    auto time_for = [&](const Part& p) { return p.attempts.back().ahead * queue_pace(); };
    if (c.floor < need(q) && !list.empty() && list[0]->out() &&
        time_for(*list[0]) > kPressed * (useful_until(q) - now_))
      placed = shorten(q, list, placed);
    double slowest = 0;
    for (Part* p : list) {
      if (!p->out()) continue;
      if (q.cautious && p != list.back()) {
        unplace(*p);
      } else if (placed - p->weight >= need(q) - q.slack) {
        placed -= p->weight;
        unplace(*p, true);
      } else {
        slowest = std::max(slowest, time_for(*p));
      }
    }
    // Overload: what cannot be in time is refused before any of it is sent.
    if (q.step == 1 && q.outstanding == 0 && too_late(q, slowest)) {
      for (Part* p : list)
        if (p->out()) unplace(*p);
      return end(q, false);
    }
    for (Part* p : list)
      if (p->out()) send(q, *p);
    settle(q);
  }

  // Departure, where fewer parts may answer and queues take most of the time left: those that weigh least for
  // their work are not sent.
  double shorten(Query& q, std::vector<Part*> list, double placed) {
    std::sort(list.begin(), list.end(),
              [](Part* a, Part* b) { return a->weight * b->hint < b->weight * a->hint; });
    q.shortened = true;
    for (Part* p : list)
      if (p->out() && placed - p->weight >= set_.classes[q.query_class].floor) {
        placed -= p->weight;
        unplace(*p, true);
      }
    return placed;
  }

  // The more of late went unserved, the surer a query must be: what is late displaces what could be served.
  bool too_late(const Query& q, double time) const {
    double devs = std::clamp((unserved_.mean(now_, 0) - kUnservedFew) / kUnservedFew, 0.0, 1.0);
    return time * std::exp(devs * spread_dev_.mean(now_, 0)) > useful_until(q) - now_;
  }

  // Time over cost ahead, as seen of late; starts from one server core's.
  double queue_pace() const { return std::exp(spread_.mean(now_, 0)) / kLeastCores; }

  // Answers, fails or waits, by what is in and what may still come.
  void settle(Query& q) {
    if (q.ended || q.awaiting_step) return;
    const ClassSettings& c = set_.classes[q.query_class];
    double in = 0, possible = 0, asked = 0;
    std::vector<Part*> list = step_parts(q);
    for (Part* p : list) {
      if (p->done) in += p->weight;
      if (!p->out() && !p->done && !repeat_allowed(*p, c)) p->dead = true;
      if (!p->dead) possible += p->weight;
      if (!p->dead && !p->spare) asked += p->weight;
    }
    double whole = need(q) - q.slack, least = std::min(c.floor, need(q)) - q.slack;
    if (list.empty() && q.step == 1) return end(q, false);
    if (in >= whole) return answer(q, q.first_whole);
    double goal = q.shortened ? least : whole;
    for (Part* p : list)  // spares replace what has died
      if (asked < goal && p->spare && !p->dead && try_part(q, *p)) asked += p->weight;
    // Departure from waiting: near the end of its use an honest partial answer beats a failure.
    double partial = c.floor < c.need ? c.partial_worth * in / need(q) : 0;
    bool may_answer = c.floor < need(q) && in >= least && in > 0;
    bool at_aim = now_ >= q.aim_at - margin() - pulse_;
    if (q.shortened) possible = asked;
    bool hopeless = possible < whole;
    bool over = now_ >= useful_until(q) - pulse_;
    if (may_answer && (over || (at_aim && partial > c.late_worth) || (hopeless && in >= possible - q.slack)))
      return answer(q, false);
    if (over || (hopeless && (c.floor >= need(q) || possible < least))) end(q, true);
  }

  void answer(Query& q, bool whole) {
    act(AnswerQuery{q.id, whole});
    unserved_.add(0, now_);
    q.first_whole = whole;
    q.awaiting_step = q.step == 1 && set_.classes[q.query_class].second_step_parts > 0;
    if (!q.awaiting_step) close(q);
  }

  // Gives a query up at once: refused where trying again is harmless and can still pay, else failed.
  void end(Query& q, bool sent) {
    const ClassSettings& c = set_.classes[q.query_class];
    bool harmless = q.step == 1;
    unserved_.add(1, now_);
    for (const std::string& id : q.parts)
      if (const Part& p = parts_.at(id); p.first_maybe < kEver || p.out() || p.done)
        harmless &= c.repeat == Repeat::safe;
    bool past = sent && now_ >= q.aim_at - margin() - pulse_;
    if (harmless && !past)
      act(RefuseQuery{q.id, set_.retry_after_heard ? std::min(set_.max_retry_after, c.aim) : 0});
    else
      act(FailQuery{q.id});
    close(q);
  }

  // Rule: one final answer, and nothing sent after it. Attempts still out are cancelled and only awaited.
  void close(Query& q) {
    q.ended = true;
    q.awaiting_step = false;
    if (!set_.may_cancel) return;
    for (const std::string& id : q.parts) cancel(parts_.at(id));
  }

  void cancel(Part& p) {
    for (Attempt& a : p.attempts)
      if (a.out && !a.started && !std::exchange(a.moving, true))
        act(CancelAttempt{p.id, static_cast<int>(&a - p.attempts.data())});
  }

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

  double moves_saved_ = kMoveMost;
  double most_parts_ = 0;         // of any query so far
  Recent unserved_;               // share of recent queries that earned nothing
  std::map<int, Query> queries_;  // by number, in order of arrival
  std::map<std::string, int> query_numbers_;
  std::map<std::string, Part> parts_;
  int next_query_ = 0;
  std::map<std::uint64_t, Millis> condemned_;  // subjects of queries that fell servers, and since when
  std::deque<std::pair<Millis, double>> taken_;
  double taken_in_window_ = 0;
  std::deque<Millis> further_;
};

}  // namespace winchhall::detail
