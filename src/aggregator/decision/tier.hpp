// What is known of the servers: the list, their load, pace and health, and the choice of a replica by it.
#pragma once

#include <random>

#include "aggregator/decision/state.hpp"
#include "aggregator/membership/list_clock.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::detail {

class Tier {
 protected:
  Tier(Settings settings, std::uint64_t seed, Millis now)
      : set_(std::move(settings)), random_(seed), now_(sound(now) ? now : 0), born_(now_) {
    bound_settings();
    learned_.resize(set_.classes.size());
    list_clock_ = winchhall::fleet::ListClock(list_terms(), seed);
  }

  void bound_settings() {
    if (set_.classes.empty()) set_.classes.emplace_back();
    set_.brokers = std::max(1, set_.brokers);
    set_.cells = std::max(1, set_.cells);
    set_.reach = std::clamp(set_.reach, 1, set_.cells);
    pulse_ = std::max(kPulse, 2 * set_.tick);
  }

  winchhall::fleet::ListTerms list_terms() const {
    return {set_.list_on_request || set_.list_watched, !set_.list_on_request, set_.brokers, set_.must_ask_in,
            set_.drain_grace};
  }

  struct ClassLearned {
    Estimate hint;      // cost hints
    Estimate response;  // time from sending to answer
    Millis usual = 0;   // its median
    Millis wary_until = kNever;
  };

  void take_list(const ServerList& list) {
    if (list.kind == ServerList::Kind::failed) {
      list_clock_.failed(now_, list.end);
      return log("list call failed");
    }
    if (list.kind != ServerList::Kind::cached) list_clock_.told(now_);
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
        servers_[it->second] = {.id = e.server, .by_class = std::vector<Health>(set_.classes.size())};
      }
      Server& s = servers_[it->second];
      // A later start: the process is new and cold, and what was known of the old one is void.
      if (e.started && (!s.started || *e.started > *s.started)) {
        explain_cut(s, true);
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
        if (!named.count(s.id)) s.state = ServerState::gone;
    forget_gone();
  }

  void forget_gone() {
    for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
      Server& s = servers_[i];
      if (s.state != ServerState::gone) {
        s.gone_at = kNever;
      } else if (s.gone_at == kNever) {
        s.gone_at = now_;
      } else if (!s.id.empty() && now_ - s.gone_at > kForgetGone && s.out_since.empty()) {
        by_name_.erase(s.id);
        s = {.id = {}, .state = ServerState::gone, .gone_at = s.gone_at, .by_class = {}};
        free_.push_back(i);
      }
    }
  }

  // Rule: drains. A list that is overdue may have missed one; a server that took a part then did not drain.
  bool may_drain(const Server& s) const { return now_ >= list_clock_.choose_by(s.proved_at); }

  double mean_hint(int c) const { return learned_[c].hint.seen ? learned_[c].hint.mean : 1.0; }

  double take_hint(int c, const std::optional<double>& hint) {
    Estimate& h = learned_[c].hint;
    if (!hint || !std::isfinite(*hint) || *hint <= 0) return mean_hint(c);
    double x = h.seen < kTrusted ? *hint : std::clamp(*hint, h.mean / kHintClamp, h.mean * kHintClamp);
    h.add(x);
    return x;
  }

  double load(const Server& s, int c) const {
    // Departure: a report that nothing refreshes fades to what the tier reports of late.
    double fresh = std::exp((s.reported_at - now_) / kFade);
    return (fresh * s.reported + (1 - fresh) * tier_load_.mean(now_, 0)) * mean_hint(c);
  }

  // Departure: a server's pace stands in for the paper's alpha while it is clearly off its peers'.
  double pace(const Server& s) const {
    if (s.pace <= 0 || typical_pace_ <= 0) return 1;
    double off = s.pace / typical_pace_;
    off = 1 + (off - 1) * std::exp(-(now_ - s.paced_at) / (kPaceDrift * sparse_));
    return off < kPaceOff ? 1 : std::min(off, kPaceMax);
  }

  double cost(const Server& s, int c, double x) const { return pace(s) * (s.sum + load(s, c) + x) / s.size; }

  bool holds(const Server& s, int shard) const {
    int j = (s.cell - shard) % set_.cells;
    return (j + set_.cells) % set_.cells < set_.reach;
  }

  bool warms_up(const Server& s) const { return s.started && now_ - *s.started < set_.cold_time; }

  // Rule: a cold server. What this broker sends within `fall_time` stays under its fraction of the allowance.
  // For that long after our own start nothing is sent: what we sent before it is not known.
  bool cold_allows(Server& s, double work) {
    if (!warms_up(s) || set_.fall_multiple <= 0) return true;
    if (now_ - born_ < set_.fall_time && *s.started < born_) return false;
    while (!s.cold_sent.empty() && s.cold_sent.front().first < now_ - set_.fall_time) s.cold_sent.pop_front();
    double age = std::max(0.0, now_ - set_.fall_time - *s.started) / set_.cold_time;
    double capacity = kLeastCores * (set_.cold_share + (1 - set_.cold_share) * age);
    double allowance = kColdSafety * set_.fall_multiple * capacity * set_.fall_time / set_.brokers;
    for (const auto& sent : s.cold_sent) work += sent.second;
    if (work <= allowance) return true;
    // A share of less than one part is kept in expectation, or nobody would send before the server is warm:
    // in each span one part may go, by lot. Spans without an occasion add to the chance, up to a bound.
    if (!s.cold_sent.empty()) return false;
    if (now_ - s.turn_at >= set_.fall_time) {
      Millis saved = now_ - std::max({s.turn_at, *s.started, born_});
      s.turn_at = now_;
      s.turn = std::uniform_real_distribution<>(0, 1)(random_) /
               std::clamp(saved / set_.fall_time, 1.0, kTurnsSaved);
    }
    return s.turn * work < kTurnShare * allowance;
  }

  // 0: sound; 1: this part was there before; 2: silent, or full; 3: fails at once, and its sum is always
  // least. Lower goes first: when all replicas look equally bad none of it is believed, the least sum decides
  // again.
  int distrust(const Server& s, const Part& p, int c) const {
    int worst = 0;
    for (const Health* h : {&s.health, &s.by_class[c]})
      if (h->aside && (now_ < h->aside_until || !s.out_since.empty()))  // else: one trial part
        worst = std::max(worst, h->at_once ? 3 : 2);
    if (worst > 0) return worst;
    if (!s.out_since.empty() && now_ - std::max(*s.out_since.begin(), s.last_answer) > quiet_after_) return 2;
    for (const Attempt& a : p.attempts)
      if (&servers_[a.server] == &s) return 1;
    return 0;
  }

  bool denied_lately(int server, const Part& p) const {
    return std::any_of(p.attempts.begin(), p.attempts.end(), [&](const Attempt& a) {
      return a.server == server && now_ - a.denied < kMoment * static_cast<double>(p.attempts.size());
    });
  }

  int choose(const Part& p, int c, int most_distrust = 3) {
    winchhall::placement::LeastCost<int> least;
    for (std::size_t k = 0; k < (p.holders ? p.holders->size() : servers_.size()); ++k) {
      auto named = p.holders ? by_name_.find((*p.holders)[k]) : by_name_.end();
      if (p.holders && named == by_name_.end()) continue;
      int i = p.holders ? named->second : static_cast<int>(k);
      Server& s = servers_[i];
      if (s.state != ServerState::ready || (!p.holders && !holds(s, p.shard))) continue;  // Rule: drains
      if (may_drain(s) || denied_lately(i, p)) continue;
      if (!cold_allows(s, std::max(p.hint, mean_hint(c)))) continue;
      int rank = distrust(s, p, c);
      if (rank <= most_distrust) least.offer(i, cost(s, c, p.hint), random_, rank);
    }
    return least.empty() ? -1 : least.best();
  }

  Millis patience(int c) const {
    const Estimate& r = learned_[c].response;
    Millis most = kPatienceOfAim * set_.classes[c].aim;
    return r.seen < kTrusted ? most : std::min(r.mean + kDevs * r.dev, most);
  }

  Millis hedge_after(int c) const {
    const ClassLearned& l = learned_[c];
    return l.response.seen < kTrusted ? patience(c) : std::min(kHedgeAfter * l.usual, patience(c));
  }

  void take_report(const std::string& server, const std::vector<double>& report) {
    auto it = by_name_.find(server);
    if (it == by_name_.end() || !set_.reports) return;
    // Queued items where they are told, else parts in flight, else nought.
    for (ReportField wanted : {ReportField::queued, ReportField::in_flight})
      for (std::size_t i = 0; i < report.size() && i < set_.report_fields.size(); ++i)
        if (set_.report_fields[i] == wanted) {
          if (!sound(report[i]) || report[i] > kReportMax) return;
          servers_[it->second].reported = report[i];
          servers_[it->second].reported_at = now_;
          tier_load_.add(report[i], now_);
          return;
        }
  }

  // A broken connection means a fallen server or a cut line, told apart by what the server does next: one
  // that answers soon never fell. Pooled, and believed a fall until most recent cases say otherwise.
  void explain_cut(Server& s, bool fell) {
    if (s.cut_at == kNever) return;
    falls_.add(fell, now_);
    s.cut_at = kNever;
  }

  void judge(Server& s, Outcome outcome, const Attempt& a, int c, double hint) {
    Millis took = now_ - a.sent;
    bool late = took > patience(c);
    switch (outcome) {
      case Outcome::ok:
        s.last_answer = s.by_class[c].last_answer = now_;
        s.proved_at = std::max(s.proved_at, a.sent);
        if (a.sent < s.cut_at || now_ - s.cut_at < kRestart) explain_cut(s, false);
        forgive(s, s.health);
        forgive(s, s.by_class[c]);
        return learn(s, took, a, c, hint);
      case Outcome::cancelled:
      case Outcome::timeout:
        if (took <= hedge_after(c)) return;  // no longer needed, or short of time: says nothing
        learn(s, took, a, c, hint);
        if (!late) return;
        // Judged by class like errors: a server may swallow one class and serve another. Nothing at all from
        // a server is the server's; one seldom heard of is struck for both.
        if (s.by_class[c].last_answer >= a.sent) return;
        if (s.last_answer >= a.sent || sparse_ > 1)
          strike(s, s.by_class[c], kStrikes, "silent for a class: ");
        return s.last_answer < a.sent ? strike(s, s.health, kStrikes, "silent: ") : void();
      case Outcome::error:
        // An error is an answer all the same: the server is not silent. It is judged for this class only.
        s.last_answer = s.by_class[c].last_answer = now_;
        return strike(s, s.by_class[c], 1, "errors: ", true);
      case Outcome::full:
        s.last_answer = now_;
        return strike(s, s.health, kStrikes, "full: ");
      case Outcome::reset:
        s.cut_at = now_;
        return strike(s, s.health, falls_.mean(now_, 1) > 0.5 ? kStrikes : 1, "broken connection: ", true);
      case Outcome::connect_failed:
        explain_cut(s, true);
        return strike(s, s.health, kStrikes, "no connection: ", true);
      default:  // it never ran, through no fault of the server
        return;
    }
  }

  void forgive(const Server& s, Health& h) {
    h.strikes *= kForgive;
    if (h.aside) log("back: " + s.id);
    if (!h.aside) h.rest = kRest;
    h.aside = false;
  }

  void learn(Server& s, Millis took, const Attempt& a, int c, double hint) {
    learned_[c].response.add(took);
    Millis& usual = learned_[c].usual;
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

  void strike(const Server& s, Health& h, double weight, const char* why, bool at_once = false) {
    h.strikes = std::min(h.strikes + weight, 2 * kStrikes);
    if (h.strikes < kStrikes || (h.aside && now_ < h.aside_until)) return;
    if (h.aside || h.rest > kRest) h.rest = std::min(2 * h.rest, kRestMax);
    if (!h.aside) log("set aside, " + (why + s.id));
    h.aside = true;
    h.at_once = at_once;
    h.aside_until = now_ + h.rest * sparse_;
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
  Millis now_, born_, pulse_ = kPulse;
  std::vector<Action> actions_;
  std::vector<Server> servers_;
  std::map<std::string, int> by_name_;
  std::vector<int> free_;  // places in servers_
  std::vector<ClassLearned> learned_;
  Recent falls_;                // broken connections that were falls of the server (1) or cut lines (0)
  Recent heard_;                // attempts ended
  double sparse_ = 1;           // mean seconds between two of them at one server, at least 1
  Recent spread_, spread_dev_;  // log of response time over the sum it was placed at, and its deviation
  Recent tier_load_;            // items reported by any server
  double typical_pace_ = 0;
  Millis quiet_after_ = std::numeric_limits<double>::infinity();
  winchhall::fleet::ListClock list_clock_{{}, 0};
  double log_left_ = kLogLines;
  Millis logged_at_ = now_;
};

}  // namespace winchhall::detail
