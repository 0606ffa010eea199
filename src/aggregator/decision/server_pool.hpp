// What is known of the servers: the list, their load, pace and health, and the choice of a replica by it.
#pragma once

#include <random>

#include "aggregator/decision/query_state.hpp"
#include "aggregator/membership/endpoint_list_freshness.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::detail {

class ServerPool {
 protected:
  ServerPool(Settings settings, std::uint64_t seed, Millis now)
      : set_(std::move(settings)),
        random_(seed),
        now_(is_finite_nonnegative(now) ? now : 0),
        started_at_(now_) {
    bound_settings();
    class_statistics_.resize(set_.classes.size());
    list_freshness_ = winchhall::membership::EndpointListFreshness(endpoint_list_terms(), seed);
  }

  void bound_settings() {
    if (set_.classes.empty()) set_.classes.emplace_back();
    set_.brokers = std::max(1, set_.brokers);
    set_.cells = std::max(1, set_.cells);
    set_.reach = std::clamp(set_.reach, 1, set_.cells);
    tick_interval_ = std::max(kTickInterval, 2 * set_.tick);
  }

  winchhall::membership::EndpointListTerms endpoint_list_terms() const {
    return {set_.list_on_request || set_.list_watched, !set_.list_on_request, set_.brokers,
            set_.max_poll_interval, set_.drain_grace};
  }

  struct ClassStatistics {
    Estimate hint;      // cost hints
    Estimate response;  // time from sending to answer
    Millis usual = 0;   // its median
    Millis suspect_until = kNever;
  };

  void apply_list(const ServerList& list) {
    if (list.kind == ServerList::Kind::failed) {
      list_freshness_.on_call_failed(now_, list.end);
      return log("list call failed");
    }
    if (list.kind != ServerList::Kind::cached) list_freshness_.on_update(now_);
    std::set<std::string> named;
    for (const ServerEntry& e : list.servers) {
      named.insert(e.server);
      auto [it, fresh] = by_name_.try_emplace(e.server, static_cast<int>(servers_.size()));
      if (fresh) {
        if (!free_.empty()) {
          it->second = free_.back();
          free_.pop_back();
        } else {
          servers_.emplace_back();
        }
        servers_[it->second] = {.id = e.server, .by_class = std::vector<ServerHealth>(set_.classes.size())};
      }
      Server& s = servers_[it->second];
      // A later start: the process is new and cold, and what was known of the old one is void.
      if (e.started && (!s.started || *e.started > *s.started)) {
        resolve_broken_connection(s, true);
        s.health = {};
        s.by_class.assign(set_.classes.size(), {});
        s.reported_at = kNever;
        s.pace = 0;
        s.started = e.started;
      }
      s.cell = e.cell;
      if (set_.weights_count) s.size = std::isfinite(e.size) && e.size > 0 ? e.size : 1;
      s.state = e.state;
    }
    if (list.kind != ServerList::Kind::changes)
      for (Server& s : servers_)
        if (!named.count(s.id)) s.state = ServerState::removed;
    forget_removed_servers();
  }

  void forget_removed_servers() {
    for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
      Server& s = servers_[i];
      if (s.state != ServerState::removed) {
        s.removed_at = kNever;
      } else if (s.removed_at == kNever) {
        s.removed_at = now_;
      } else if (!s.id.empty() && now_ - s.removed_at > kForgetRemovedAfter && s.out_since.empty()) {
        by_name_.erase(s.id);
        s = {.id = {}, .state = ServerState::removed, .removed_at = s.removed_at, .by_class = {}};
        free_.push_back(i);
      }
    }
  }

  // Rule: drains. A list that is overdue may have missed one; a server that took a part then did not drain.
  bool may_be_draining(const Server& s) const {
    return now_ >= list_freshness_.selectable_until(s.proved_at);
  }

  double mean_hint(int c) const {
    return class_statistics_[c].hint.seen ? class_statistics_[c].hint.mean : 1.0;
  }

  double record_hint(int c, const std::optional<double>& hint) {
    Estimate& h = class_statistics_[c].hint;
    if (!hint || !std::isfinite(*hint) || *hint <= 0) return mean_hint(c);
    double x = h.seen < kMinSamples ? *hint : std::clamp(*hint, h.mean / kHintClamp, h.mean * kHintClamp);
    h.add(x);
    return x;
  }

  double load(const Server& s, int c) const {
    // Departure: a report that nothing refreshes fades to what the tier reports of late.
    double fresh = std::exp((s.reported_at - now_) / kDecayTime);
    return (fresh * s.reported + (1 - fresh) * pool_load_.mean(now_, 0)) * mean_hint(c);
  }

  // Departure: a server's pace stands in for the paper's alpha while it is clearly off its peers'.
  double pace(const Server& s) const {
    if (s.pace <= 0 || typical_pace_ <= 0) return 1;
    double off = s.pace / typical_pace_;
    off = 1 + (off - 1) * std::exp(-(now_ - s.paced_at) / (kPaceDecayTime * sparse_));
    return off < kPaceOutlierRatio ? 1 : std::min(off, kMaxPace);
  }

  double cost(const Server& s, int c, double x) const { return pace(s) * (s.sum + load(s, c) + x) / s.size; }

  bool holds(const Server& s, int shard) const {
    int j = (s.cell - shard) % set_.cells;
    return (j + set_.cells) % set_.cells < set_.reach;
  }

  bool is_warming_up(const Server& s) const { return s.started && now_ - *s.started < set_.warm_up_time; }

  // Rule: a cold server. What this broker sends within `fall_time` stays under its fraction of the allowance.
  // For that long after our own start nothing is sent: what we sent before it is not known.
  bool warm_up_allows(Server& s, double work) {
    if (!is_warming_up(s) || set_.fall_multiple <= 0) return true;
    if (now_ - started_at_ < set_.fall_time && *s.started < started_at_) return false;
    while (!s.sent_while_warming_up.empty() && s.sent_while_warming_up.front().first < now_ - set_.fall_time)
      s.sent_while_warming_up.pop_front();
    double age = std::max(0.0, now_ - set_.fall_time - *s.started) / set_.warm_up_time;
    double capacity = kMinServerCores * (set_.warm_up_initial_share + (1 - set_.warm_up_initial_share) * age);
    double allowance = kWarmUpSafety * set_.fall_multiple * capacity * set_.fall_time / set_.brokers;
    for (const auto& sent : s.sent_while_warming_up) work += sent.second;
    if (work <= allowance) return true;
    // A share of less than one part is kept in expectation, or nobody would send before the server is warm:
    // in each span one part may go, by lot. Spans without an occasion add to the chance, up to a bound.
    if (!s.sent_while_warming_up.empty()) return false;
    if (now_ - s.turn_at >= set_.fall_time) {
      Millis saved = now_ - std::max({s.turn_at, *s.started, started_at_});
      s.turn_at = now_;
      s.turn = std::uniform_real_distribution<>(0, 1)(random_) /
               std::clamp(saved / set_.fall_time, 1.0, kMaxUnusedLotIntervals);
    }
    return s.turn * work < kWarmUpLotShare * allowance;
  }

  // 0: sound; 1: this part was there before; 2: silent, or full; 3: fails at once, and its sum is always
  // least. Lower goes first: when all replicas look equally bad none of it is believed, the least sum decides
  // again.
  int health_rank(const Server& s, const Part& p, int c) const {
    int worst = 0;
    for (const ServerHealth* h : {&s.health, &s.by_class[c]})
      if (h->is_ejected && (now_ < h->ejected_until || !s.out_since.empty()))  // else: one trial part
        worst = std::max(worst, h->failed_immediately ? 3 : 2);
    if (worst > 0) return worst;
    if (!s.out_since.empty() && now_ - std::max(*s.out_since.begin(), s.last_answer) > quiet_after_) return 2;
    for (const Attempt& a : p.attempts)
      if (&servers_[a.server] == &s) return 1;
    return 0;
  }

  bool denied_recently(int server, const Part& p) const {
    return std::any_of(p.attempts.begin(), p.attempts.end(), [&](const Attempt& a) {
      return a.server == server &&
             now_ - a.denied < kListPropagationTime * static_cast<double>(p.attempts.size());
    });
  }

  int choose(const Part& p, int c, int max_health_rank = 3) {
    winchhall::placement::LeastCost<int> least;
    for (std::size_t k = 0; k < (p.holders ? p.holders->size() : servers_.size()); ++k) {
      auto named = p.holders ? by_name_.find((*p.holders)[k]) : by_name_.end();
      if (p.holders && named == by_name_.end()) continue;
      int i = p.holders ? named->second : static_cast<int>(k);
      Server& s = servers_[i];
      if (s.state != ServerState::ready || (!p.holders && !holds(s, p.shard))) continue;  // Rule: drains
      if (may_be_draining(s) || denied_recently(i, p)) continue;
      if (!warm_up_allows(s, std::max(p.hint, mean_hint(c)))) continue;
      int rank = health_rank(s, p, c);
      if (rank <= max_health_rank) least.offer(i, cost(s, c, p.hint), random_, rank);
    }
    return least.empty() ? -1 : least.best();
  }

  Millis patience(int c) const {
    const Estimate& r = class_statistics_[c].response;
    Millis most = kPatienceShareOfTarget * set_.classes[c].latency_target;
    return r.seen < kMinSamples ? most : std::min(r.mean + kLateDeviations * r.dev, most);
  }

  Millis hedge_after(int c) const {
    const ClassStatistics& l = class_statistics_[c];
    return l.response.seen < kMinSamples ? patience(c) : std::min(kHedgeDelayRatio * l.usual, patience(c));
  }

  void apply_report(const std::string& server, const std::vector<double>& report) {
    auto it = by_name_.find(server);
    if (it == by_name_.end() || !set_.reports) return;
    // Queued items where they are told, else parts in flight, else nought.
    for (ReportField wanted : {ReportField::queued, ReportField::in_flight})
      for (std::size_t i = 0; i < report.size() && i < set_.report_fields.size(); ++i)
        if (set_.report_fields[i] == wanted) {
          if (!is_finite_nonnegative(report[i]) || report[i] > kMaxReportedLoad) return;
          servers_[it->second].reported = report[i];
          servers_[it->second].reported_at = now_;
          pool_load_.add(report[i], now_);
          return;
        }
  }

  // A broken connection means a fallen server or a cut line, told apart by what the server does next: one
  // that answers soon never fell. Pooled, and believed a fall until most recent cases say otherwise.
  void resolve_broken_connection(Server& s, bool crashed_servers) {
    if (s.connection_broken_at == kNever) return;
    crash_estimate_.add(crashed_servers, now_);
    s.connection_broken_at = kNever;
  }

  void record_outcome(Server& s, Outcome outcome, const Attempt& a, int c, double hint) {
    Millis took = now_ - a.sent;
    bool late = took > patience(c);
    switch (outcome) {
      case Outcome::ok:
        s.last_answer = s.by_class[c].last_answer = now_;
        s.proved_at = std::max(s.proved_at, a.sent);
        if (a.sent < s.connection_broken_at || now_ - s.connection_broken_at < kMinRestartTime)
          resolve_broken_connection(s, false);
        record_success(s, s.health);
        record_success(s, s.by_class[c]);
        return record_response_time(s, took, a, c, hint);
      case Outcome::cancelled:
      case Outcome::timeout:
        if (took <= hedge_after(c)) return;  // no longer needed, or short of time: says nothing
        record_response_time(s, took, a, c, hint);
        if (!late) return;
        // Judged by class like errors: a server may swallow one class and serve another. Nothing at all from
        // a server is the server's; one seldom heard of is struck for both.
        if (s.by_class[c].last_answer >= a.sent) return;
        if (s.last_answer >= a.sent || sparse_ > 1)
          record_failure(s, s.by_class[c], kEjectionStrikes, "silent for a class: ");
        return s.last_answer < a.sent ? record_failure(s, s.health, kEjectionStrikes, "silent: ") : void();
      case Outcome::error:
        // An error is an answer all the same: the server is not silent. It is judged for this class only.
        s.last_answer = s.by_class[c].last_answer = now_;
        return record_failure(s, s.by_class[c], 1, "errors: ", true);
      case Outcome::full:
        s.last_answer = now_;
        return record_failure(s, s.health, kEjectionStrikes, "full: ");
      case Outcome::reset:
        s.connection_broken_at = now_;
        return record_failure(s, s.health, crash_estimate_.mean(now_, 1) > 0.5 ? kEjectionStrikes : 1,
                              "broken connection: ", true);
      case Outcome::connect_failed:
        resolve_broken_connection(s, true);
        return record_failure(s, s.health, kEjectionStrikes, "no connection: ", true);
      default:  // it never ran, through no fault of the server
        return;
    }
  }

  void record_success(const Server& s, ServerHealth& h) {
    h.strikes *= kStrikeDecay;
    if (h.is_ejected) log("back: " + s.id);
    if (!h.is_ejected) h.ejection_time = kBaseEjectionTime;
    h.is_ejected = false;
  }

  void record_response_time(Server& s, Millis took, const Attempt& a, int c, double hint) {
    class_statistics_[c].response.add(took);
    Millis& usual = class_statistics_[c].usual;
    usual = usual <= 0 ? took : took > usual ? usual * kMedianStep : usual / kMedianStep;
    // Only what waited behind others tells how fast a queue is worked off; a part alone takes its own time.
    // By its logarithm: a few slow servers don't speak for the tier.
    if (a.ahead > 2 * hint) {
      double x = std::log(std::max(took, 1.0) / a.ahead);
      spread_dev_.add(std::abs(x - spread_.mean(now_, 0)), now_);
      spread_.add(x, now_);
    }
    double seen = took / std::max(hint, 1e-3);
    s.pace = s.pace <= 0 ? seen : s.pace + kMeanGain * 2 * (seen - s.pace);
    s.paced_at = now_;
  }

  void record_failure(const Server& s, ServerHealth& h, double weight, const char* why,
                      bool failed_immediately = false) {
    h.strikes = std::min(h.strikes + weight, 2 * kEjectionStrikes);
    if (h.strikes < kEjectionStrikes || (h.is_ejected && now_ < h.ejected_until)) return;
    if (h.is_ejected || h.ejection_time > kBaseEjectionTime)
      h.ejection_time = std::min(2 * h.ejection_time, kMaxEjectionTime);
    if (!h.is_ejected) log("set aside, " + (why + s.id));
    h.is_ejected = true;
    h.failed_immediately = failed_immediately;
    h.ejected_until = now_ + h.ejection_time * sparse_;
  }

  void act(Action a) { actions_.push_back(std::move(a)); }
  void log(const std::string& text) {
    log_left_ = std::min(kLogLines, log_left_ + kLogPerSecond * (now_ - logged_at_) / 1000);
    logged_at_ = now_;
    if (log_left_ < 1) return;
    --log_left_;
    act(LogLine{text});
  }

  Settings set_;
  std::mt19937_64 random_;
  Millis now_, started_at_, tick_interval_ = kTickInterval;
  std::vector<Action> actions_;
  std::vector<Server> servers_;
  std::map<std::string, int> by_name_;
  std::vector<int> free_;  // places in servers_
  std::vector<ClassStatistics> class_statistics_;
  Recent crash_estimate_;       // broken connections that were falls of the server (1) or cut lines (0)
  Recent attempts_ended_;       // attempts ended
  double sparse_ = 1;           // mean seconds between two of them at one server, at least 1
  Recent spread_, spread_dev_;  // log of response time over the sum it was placed at, and its deviation
  Recent pool_load_;            // items reported by any server
  double typical_pace_ = 0;
  Millis quiet_after_ = std::numeric_limits<double>::infinity();
  winchhall::membership::EndpointListFreshness list_freshness_{{}, 0};
  double log_left_ = kLogLines;
  Millis logged_at_ = now_;
};

}  // namespace winchhall::detail
