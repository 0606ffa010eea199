// Every decision of the aggregator; the interface is include/winchhall/coordinator.hpp. Ordinary path
// (docs/design.md): on arrival, parts are placed largest hint first, each on the replica of its shard with
// the smallest (own outstanding hinted cost + reported load + this part), ties at random. All else departs
// from that only under the condition stated where it stands.

#include "aggregator/decision/queries.hpp"

namespace winchhall {

using namespace detail;

class Coordinator::Impl : Queries {
 public:
  using Queries::on;
  Impl(Settings settings, std::uint64_t seed, Millis now) : Queries(std::move(settings), seed, now) {}

  std::vector<Action> start() {
    list_clock_.start(now_);
    keep_list();
    act(SetTimer{now_ + pulse_, 0});
    return std::exchange(actions_, {});
  }

  std::vector<Action> handle(Millis now, const Event& event) {
    if (sound(now)) now_ = std::max(now_, now);
    std::visit([this](const auto& e) { on(e); }, event);
    return std::exchange(actions_, {});
  }

 private:
  void on(const PartsReplaced& e) {
    Part successor;
    for (const std::string& id : e.parts) {
      auto it = parts_.find(id);
      if (it == parts_.end() || it->second.out() || it->second.done) return;
      const Part& p = it->second;
      successor.query = p.query;
      successor.step = p.step;
      successor.most = p.most;
      successor.used = std::max(successor.used, p.tries());
      successor.resets = std::max(successor.resets, p.resets);
      successor.spare = p.spare;
      successor.dead |= p.dead;
      successor.first_maybe = std::min(successor.first_maybe, p.first_maybe);
    }
    auto found = queries_.find(successor.query);
    if (found == queries_.end() || found->second.ended || found->second.step != successor.step) return;
    Query& q = found->second;
    for (const std::string& id : e.parts) {
      parts_.erase(id);
      std::erase(q.parts, id);
    }
    for (const PartSpec& spec : e.successors)
      add_part(q, successor, spec, spec.hint && sound(*spec.hint) ? *spec.hint : mean_hint(q.query_class));
    for (const PartSpec& spec : e.successors)
      if (Part& p = parts_.at(spec.part); !p.spare && !q.awaiting_step) try_part(q, p);
    settle(q);
  }

  void on(const HoldersChanged& e) {
    auto it = parts_.find(e.part);
    if (it == parts_.end() || queries_.at(it->second.query).ended) return;
    Part& p = it->second;
    Query& q = queries_.at(p.query);
    p.holders = e.holders;
    if (!p.spare && !q.awaiting_step && p.step == q.step) try_part(q, p);
  }

  void on(const SettingsChanged& e) {
    set_ = e.settings;
    bound_settings();
    list_clock_.change(list_terms());
    auto carry = [&](auto& figures) {
      auto before = std::exchange(figures, {});
      figures.resize(set_.classes.size());
      for (std::size_t i = 0; i < std::min(e.from.size(), figures.size()); ++i)
        if (e.from[i] >= 0) figures[i] = before.at(static_cast<std::size_t>(e.from[i]));
    };
    carry(learned_);
    for (Server& s : servers_) carry(s.by_class);
  }

  void keep_list() {
    if (list_clock_.ask(now_)) act(WatchList{true});
  }
  void on(const ListHeard&) { list_clock_.heard(now_); }
  void on(const ListMoved&) { list_clock_.moved(now_); }
  void on(const ServerList& list) {
    take_list(list);
    retry_waiting();
  }

  void on(const AttemptEnded& e) {
    take_report(e.server, e.report);
    heard_.add(0, now_);
    Attempt* found = find_attempt(e.part, e.attempt);
    if (!found || !found->out) return;
    Attempt& a = *found;
    Part& p = parts_.at(e.part);
    release(a);
    Query& q = queries_.at(p.query);
    --q.outstanding;
    bool never_ran = e.outcome == Outcome::full || e.outcome == Outcome::connect_failed ||
                     e.outcome == Outcome::unsent || e.outcome == Outcome::not_mine;
    if (e.outcome == Outcome::not_mine) a.denied = servers_[a.server].last_answer = now_;
    if (!e.written && p.unwritten < p.most) ++p.unwritten, --p.used;  // Rule: these are no attempts
    if (!never_ran) p.first_maybe = std::min(p.first_maybe, a.sent);
    judge(servers_[a.server], e.outcome, a, q.query_class, p.hint);
    if (q.ended) return;
    if (e.outcome == Outcome::reset && falls_.mean(now_, 1) > 0.5 && fells_servers(q, p, a.server))
      return end(q, true);
    if (e.outcome == Outcome::ok) {
      p.done = q.served = true;
      q.cautious = false;
      if (set_.may_cancel) cancel(p);
    } else if (!p.done && !p.out()) {  // else a copy of it counts
      p.dead |= e.part_closed || (e.outcome == Outcome::timeout && !spare_load());
      if (!q.awaiting_step && p.step == q.step) try_part(q, p);
    }
    settle(q);
  }

  // Guards against a query that fells every server it reaches. Once several fell, its parts go one at a time;
  // it is condemned, with its subject, when another falls or nothing came back.
  bool fells_servers(Query& q, Part& p, int server) {
    q.fell.insert(server);
    bool many = q.fell.size() >= kFellMany;
    bool condemned = ++p.resets > 1 || (q.cautious && q.outstanding == 0) || (many && !q.served);
    q.cautious |= many;
    if (!condemned) return false;
    if (q.key) condemned_[*q.key] = now_;
    learned_[q.query_class].wary_until = now_ + kSuspectFor;
    log("query fells servers, given up; last on " + servers_[server].id);
    return true;
  }

  Attempt* find_attempt(const std::string& part, int attempt) {
    auto it = parts_.find(part);
    bool known = it != parts_.end() && attempt >= 0 && attempt < static_cast<int>(it->second.attempts.size());
    return known ? &it->second.attempts[attempt] : nullptr;
  }

  void on(const TimerFired&) {
    act(SetTimer{now_ + pulse_, 0});
    keep_list();
    quiet_after_ = 0;
    for (std::size_t c = 0; c < set_.classes.size(); ++c)
      quiet_after_ = std::max(quiet_after_, patience(static_cast<int>(c)));
    // Departure: what is known of a server lasts longer where it is seldom heard of; 1: once a second.
    double ready = 0;
    std::vector<double> paces;
    for (const Server& s : servers_) {
      if (s.state != ServerState::ready) continue;
      ++ready;
      if (s.pace > 0) paces.push_back(s.pace);
    }
    if (!paces.empty()) {
      auto middle = paces.begin() + paces.size() / 2;
      std::nth_element(paces.begin(), middle, paces.end());
      typical_pace_ = *middle;
    }
    double per_second = 1000 * heard_.weight * heard_.left(now_) / kFade;
    sparse_ = std::clamp(ready / std::max(per_second, 1e-3), 1.0, kSparseMost);
    for (auto& [number, q] : queries_) {
      if (q.awaiting_step && now_ >= q.give_up_at - pulse_) end(q, true);
      if (q.ended || q.awaiting_step) continue;
      move_overdue(q);
      settle(q);
    }
    retry_waiting();
    forget_closed();
    std::erase_if(condemned_, [&](const auto& key) { return now_ - key.second > kSuspectFor; });
  }

  // Guards against one slow server that keeps a whole query waiting: a part late by the usual response gets a
  // copy where that is allowed (hedged requests, Dean and Barroso 2013); else it leaves a silent server.
  void move_overdue(Query& q) {
    int c = q.query_class;
    for (Part* p : step_parts(q)) {
      if (!p->out() || p->attempts.back().moving || p->attempts.back().started) continue;
      const Attempt& a = p->attempts.back();
      bool copy = set_.may_hedge && set_.classes[c].repeat == Repeat::safe && !p->holders;
      if (now_ - a.sent <= (copy ? hedge_after(c) : patience(c)) || start_spare(q)) continue;
      if (!set_.may_cancel || set_.classes[c].repeat == Repeat::unsafe) continue;
      if (p->tries() >= p->most || !budget_allows()) continue;
      const Server& s = servers_[a.server];
      if (!copy && s.last_answer >= a.sent && !s.by_class[c].aside) continue;
      if (!copy && useful_until(q) - now_ < learned_[c].response.mean) continue;
      if (moves_saved_ < 1 || (copy ? !place(*p, c, 0) : choose(*p, c, 0) < 0)) continue;
      --moves_saved_;
      copy ? send(q, *p) : cancel(*p);
    }
  }

  // Any spare is a first attempt of another part: it costs no repeat.
  bool start_spare(Query& q) {
    double in = 0;
    for (Part* p : step_parts(q))
      if (p->done || (p->out() && now_ - p->attempts.back().sent <= patience(q.query_class))) in += p->weight;
    if (in >= (q.shortened ? set_.classes[q.query_class].floor : need(q)) - q.slack) return true;
    for (Part* p : step_parts(q))
      if (p->spare && try_part(q, *p)) return true;
    return false;
  }

  // Parts without a replica to go to, or waiting for budget, are tried again as things change.
  void retry_waiting() {
    for (auto& [number, q] : queries_) {
      if (q.ended || q.awaiting_step) continue;
      for (Part* p : step_parts(q))
        if (!p->spare) try_part(q, *p);
    }
  }

  void on(const AttemptStarted& e) {
    if (Attempt* a = find_attempt(e.part, e.attempt)) a->started = true;
  }
  void on(const ProbeEnded& e) { take_report(e.server, e.report); }
  void on(const PeerMessage&) {}
};

Coordinator::Coordinator(Settings settings, std::uint64_t seed, Millis now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator& Coordinator::operator=(Coordinator&&) noexcept = default;
std::vector<Action> Coordinator::start() { return impl_->start(); }
std::vector<Action> Coordinator::handle(Millis now, const Event& event) { return impl_->handle(now, event); }

}  // namespace winchhall
