// Event handlers of the coordinator; the contract is in include/winchhall/coordinator.hpp.
//
// Default placement (docs/design.md): on arrival, parts are placed in descending order of estimated cost,
// each on the replica with the smallest sum of own outstanding cost, reported load and the cost of the part;
// ties are broken at random. Comments that begin with "Rule:" mark requirements of the operators,
// "Deviation:" marks departures from the default placement, with the condition under which they apply.

#include "aggregator/decision/query_table.hpp"

namespace winchhall {

using namespace detail;

class Coordinator::Impl : QueryTable {
 public:
  using QueryTable::on;
  Impl(Settings settings, std::uint64_t seed, Millis now) : QueryTable(std::move(settings), seed, now) {}

  std::vector<Action> start() {
    list_freshness_.start(now_);
    request_list_if_due();
    act(SetTimer{now_ + tick_interval_, 0});
    return std::exchange(actions_, {});
  }

  std::vector<Action> handle(Millis now, const Event& event) {
    if (is_finite_nonnegative(now)) now_ = std::max(now_, now);
    std::visit([this](const auto& e) { on(e); }, event);
    return std::exchange(actions_, {});
  }

 private:
  void on(const PartsReplaced& e) {
    Part successor;
    for (const std::string& id : e.parts) {
      auto it = parts_.find(id);
      if (it == parts_.end() || it->second.has_attempt_in_flight() || it->second.done) return;
      const Part& p = it->second;
      successor.query = p.query;
      successor.step = p.step;
      successor.max_attempts = p.max_attempts;
      successor.inherited_attempts = std::max(successor.inherited_attempts, p.attempt_count());
      successor.connection_resets = std::max(successor.connection_resets, p.connection_resets);
      successor.is_spare = p.is_spare;
      successor.dead |= p.dead;
      successor.first_possible_run = std::min(successor.first_possible_run, p.first_possible_run);
    }
    auto found = queries_.find(successor.query);
    if (found == queries_.end() || found->second.ended || found->second.step != successor.step) return;
    Query& q = found->second;
    for (const std::string& id : e.parts) {
      parts_.erase(id);
      std::erase(q.parts, id);
    }
    for (const PartSpec& spec : e.successors)
      add_part(q, successor, spec,
               spec.hint && is_finite_nonnegative(*spec.hint) ? *spec.hint : mean_hint(q.query_class));
    for (const PartSpec& spec : e.successors)
      if (Part& p = parts_.at(spec.part); !p.is_spare && !q.awaiting_step) try_part(q, p);
    finish_if_possible(q);
  }

  void on(const HoldersChanged& e) {
    auto it = parts_.find(e.part);
    if (it == parts_.end() || queries_.at(it->second.query).ended) return;
    Part& p = it->second;
    Query& q = queries_.at(p.query);
    p.holders = e.holders;
    if (!p.is_spare && !q.awaiting_step && p.step == q.step) try_part(q, p);
  }

  void on(const SettingsChanged& e) {
    settings_ = e.settings;
    bound_settings();
    list_freshness_.change(endpoint_list_terms());
    auto reorder = [&](auto& statistics) {
      auto before = std::exchange(statistics, {});
      statistics.resize(settings_.classes.size());
      for (std::size_t i = 0; i < std::min(e.from.size(), statistics.size()); ++i)
        if (e.from[i] >= 0) statistics[i] = before.at(static_cast<std::size_t>(e.from[i]));
    };
    reorder(class_statistics_);
    for (Server& s : servers_) reorder(s.by_class);
  }

  // Opens the watch on the endpoint list when a request is due.
  void request_list_if_due() {
    if (list_freshness_.should_request(now_)) act(WatchList{true});
  }
  void on(const ListKeepalive&) { list_freshness_.on_keepalive(now_); }
  void on(const ListServiceMoved&) { list_freshness_.on_service_moved(now_); }
  void on(const ServerList& list) {
    apply_list(list);
    retry_waiting();
  }

  void on(const AttemptEnded& e) {
    apply_report(e.server, e.report);
    attempts_ended_.add(0, now_);
    Attempt* found = find_attempt(e.part, e.attempt);
    if (!found || !found->in_flight) return;
    Attempt& a = *found;
    Part& p = parts_.at(e.part);
    release(a);
    Query& q = queries_.at(p.query);
    --q.outstanding;
    bool never_ran = e.outcome == Outcome::full || e.outcome == Outcome::connect_failed ||
                     e.outcome == Outcome::unsent || e.outcome == Outcome::not_mine;
    if (e.outcome == Outcome::not_mine) a.denied_at = servers_[a.server].last_answer = now_;
    if (!e.written && p.unwritten_attempts < p.max_attempts)
      ++p.unwritten_attempts, --p.inherited_attempts;  // Rule: an unsent request is no attempt
    if (!never_ran) p.first_possible_run = std::min(p.first_possible_run, a.sent);
    record_outcome(servers_[a.server], e.outcome, a, q.query_class, p.hint);
    if (q.ended) return;
    if (e.outcome == Outcome::reset && crash_estimate_.mean(now_, 1) > 0.5 && crashes_servers(q, p, a.server))
      return give_up(q, true);
    if (e.outcome == Outcome::ok) {
      p.done = q.served = true;
      q.serial = false;
      if (settings_.may_cancel) cancel(p);
    } else if (!p.done && !p.has_attempt_in_flight()) {  // else a hedged attempt is still in flight
      p.dead |= e.part_closed || (e.outcome == Outcome::timeout && !consume_late_retry_token());
      if (!q.awaiting_step && p.step == q.step) try_part(q, p);
    }
    finish_if_possible(q);
  }

  // Limits the damage of a query that crashes each server that executes it (query of death). After
  // kCrashSuspectCount crashes its parts are sent one at a time. The query is given up, and its key rejected
  // for kCrashSuspectTime, when a part crashes a second server, when a part that was sent alone crashes its
  // server, or when kCrashSuspectCount servers crashed and no part has succeeded. True: it must be given up.
  bool crashes_servers(Query& q, Part& p, int server) {
    q.crashed_servers.insert(server);
    bool several = q.crashed_servers.size() >= kCrashSuspectCount;
    bool harmful = ++p.connection_resets > 1 || (q.serial && q.outstanding == 0) || (several && !q.served);
    q.serial |= several;
    if (!harmful) return false;
    if (q.key) rejected_keys_[*q.key] = now_;
    class_statistics_[q.query_class].suspect_until = now_ + kCrashSuspectTime;
    log("query given up, it crashes the servers that execute it; last server: " + servers_[server].id);
    return true;
  }

  // The attempt of that number, or null if the part or the number is unknown.
  Attempt* find_attempt(const std::string& part, int attempt) {
    auto it = parts_.find(part);
    bool known = it != parts_.end() && attempt >= 0 && attempt < static_cast<int>(it->second.attempts.size());
    return known ? &it->second.attempts[attempt] : nullptr;
  }

  void on(const TimerFired&) {
    act(SetTimer{now_ + tick_interval_, 0});
    request_list_if_due();
    response_timeout_ = 0;
    for (std::size_t c = 0; c < settings_.classes.size(); ++c)
      response_timeout_ = std::max(response_timeout_, late_after(static_cast<int>(c)));
    // Deviation: statistics of a server expire more slowly where this instance sends to it less than once a
    // second (sparse_factor_ > 1).
    double ready_servers = 0;
    warm_size_ = 0;
    std::vector<double> response_ratios;
    for (const Server& s : servers_) {
      if (s.state != ServerState::ready) continue;
      ++ready_servers;
      if (!is_warming_up(s)) warm_size_ += s.size;
      if (s.response_ratio > 0) response_ratios.push_back(s.response_ratio);
    }
    if (!response_ratios.empty()) {
      auto middle = response_ratios.begin() + response_ratios.size() / 2;
      std::nth_element(response_ratios.begin(), middle, response_ratios.end());
      median_response_ratio_ = *middle;
    }
    double per_second = 1000 * attempts_ended_.weight * attempts_ended_.remaining(now_) / kDecayTime;
    sparse_factor_ = std::clamp(ready_servers / std::max(per_second, 1e-3), 1.0, kMaxSparseFactor);
    for (auto& [number, q] : queries_) {
      if (q.awaiting_step && now_ >= q.give_up_at - tick_interval_) give_up(q, true);
      if (q.ended || q.awaiting_step) continue;
      retry_or_hedge_overdue(q);
      finish_if_possible(q);
    }
    retry_waiting();
    forget_closed();
    std::erase_if(rejected_keys_, [&](const auto& key) { return now_ - key.second > kCrashSuspectTime; });
  }

  // Limits the effect of one slow server on a query's latency: a part that exceeds the hedge delay gets a
  // second attempt where that is allowed (hedged requests: J. Dean and L. A. Barroso, "The Tail at Scale",
  // CACM 56(2), 2013); otherwise, if the server is unresponsive, its attempt is cancelled and retried.
  void retry_or_hedge_overdue(Query& q) {
    int c = q.query_class;
    for (Part* p : step_parts(q)) {
      if (!p->has_attempt_in_flight() || p->attempts.back().cancel_requested || p->attempts.back().started)
        continue;
      const Attempt& a = p->attempts.back();
      bool hedge =
          settings_.may_hedge && settings_.classes[c].idempotency == Idempotency::safe && !p->holders;
      if (now_ - a.sent <= (hedge ? hedge_after(c) : late_after(c)) || start_spare_part(q)) continue;
      if (!settings_.may_cancel || settings_.classes[c].idempotency == Idempotency::unsafe) continue;
      if (p->attempt_count() >= p->max_attempts || !retry_budget_allows()) continue;
      const Server& s = servers_[a.server];
      if (!hedge && s.last_answer >= a.sent && !s.by_class[c].is_ejected) continue;
      if (!hedge && useful_until(q) - now_ < class_statistics_[c].response.mean) continue;
      if (late_retry_tokens_ < 1 || (hedge ? !place(*p, c, 0) : choose(*p, c, 0) < 0)) continue;
      --late_retry_tokens_;
      hedge ? send(q, *p) : cancel(*p);
    }
  }

  // Sends a spare part in place of a late one; a first attempt needs no retry budget. Returns true if a spare
  // was sent, or if none is needed because the parts that are done or on time suffice.
  bool start_spare_part(Query& q) {
    double weight = 0;
    for (Part* p : step_parts(q))
      if (p->done ||
          (p->has_attempt_in_flight() && now_ - p->attempts.back().sent <= late_after(q.query_class)))
        weight += p->weight;
    if (weight >= (q.reduced ? settings_.classes[q.query_class].min_share : needed(q)) - q.slack) return true;
    for (Part* p : step_parts(q))
      if (p->is_spare && try_part(q, *p)) return true;
    return false;
  }

  // Retries parts that had no eligible replica or no retry budget.
  void retry_waiting() {
    for (auto& [number, q] : queries_) {
      if (q.ended || q.awaiting_step) continue;
      for (Part* p : step_parts(q))
        if (!p->is_spare) try_part(q, *p);
    }
  }

  void on(const AttemptStarted& e) {
    if (Attempt* a = find_attempt(e.part, e.attempt)) a->started = true;
  }
  void on(const ProbeEnded& e) { apply_report(e.server, e.report); }
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
