// The known servers: endpoint list, load, speed and health of each, and the selection of a replica.
#pragma once

#include <random>

#include "aggregator/decision/query_state.hpp"
#include "aggregator/membership/endpoint_list_freshness.hpp"
#include "placement/least_cost.hpp"

namespace winchhall::detail {

// The known servers with their statistics, and the choice among them. It also owns what all event handlers
// share: settings, time, random generator and the list of pending actions. Indices into servers_ stay valid
// while a server is referenced; slots of removed servers are reused. Times are in ms. Not thread-safe.
class ServerPool {
 protected:
  ServerPool(Settings settings, std::uint64_t seed, Millis now)
      : settings_(std::move(settings)),
        random_(seed),
        now_(is_finite_nonnegative(now) ? now : 0),
        started_at_(now_) {
    bound_settings();
    class_statistics_.resize(settings_.classes.size());
    list_freshness_ = winchhall::membership::EndpointListFreshness(endpoint_list_terms(), seed);
  }

  // Replaces settings out of range by the nearest valid value.
  void bound_settings() {
    if (settings_.classes.empty()) settings_.classes.emplace_back();
    settings_.instances = std::max(1, settings_.instances);
    settings_.cells = std::max(1, settings_.cells);
    settings_.cells_per_shard = std::clamp(settings_.cells_per_shard, 1, settings_.cells);
    tick_interval_ = std::max(kTickInterval, 2 * settings_.tick);
  }

  winchhall::membership::EndpointListTerms endpoint_list_terms() const {
    return {settings_.list_on_request || settings_.list_watched, !settings_.list_on_request,
            settings_.instances, settings_.max_poll_interval, settings_.drain_grace};
  }

  // Learned values of one class, in ms.
  struct ClassStatistics {
    Estimate hint;                  // cost estimates of parts
    Estimate response;              // response times
    Millis median_response = 0;     // estimated median response time; 0: unknown
    Millis suspect_until = kNever;  // its queries are sent one part at a time until then: one crashed servers
  };

  // Applies an endpoint list, or a failed request for it, to the known servers.
  void apply_list(const ServerList& list) {
    if (list.kind == ServerList::Kind::failed) {
      list_freshness_.on_call_failed(now_, list.end);
      return log("endpoint list request failed, the last list stays in use");
    }
    if (list.kind != ServerList::Kind::cached) list_freshness_.on_update(now_);
    std::set<std::string> named;
    for (const ServerEntry& e : list.servers) {
      named.insert(e.server);
      auto [it, is_new] = by_name_.try_emplace(e.server, static_cast<int>(servers_.size()));
      if (is_new) {
        if (!free_slots_.empty()) {
          it->second = free_slots_.back();
          free_slots_.pop_back();
        } else {
          servers_.emplace_back();
        }
        servers_[it->second] = {.id = e.server,
                                .by_class = std::vector<ServerHealth>(settings_.classes.size())};
      }
      Server& s = servers_[it->second];
      // A later start time: the process restarted, so statistics and health of the previous one are reset.
      if (e.started && (!s.started || *e.started > *s.started)) {
        resolve_broken_connection(s, true);
        s.health = {};
        s.by_class.assign(settings_.classes.size(), {});
        s.reported_at = kNever;
        s.response_ratio = 0;
        s.warm_up_window.on_restart();
        s.started = e.started;
      }
      s.cell = e.cell;
      if (settings_.weights_count) s.size = std::isfinite(e.size) && e.size > 0 ? e.size : 1;
      s.state = e.state;
    }
    if (list.kind != ServerList::Kind::changes)
      for (Server& s : servers_)
        if (!named.count(s.id)) s.state = ServerState::removed;
    forget_removed_servers();
  }

  // Frees the slots of servers that were removed kForgetRemovedAfter ago and have no attempt in flight.
  void forget_removed_servers() {
    for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
      Server& s = servers_[i];
      if (s.state != ServerState::removed) {
        s.removed_at = kNever;
      } else if (s.removed_at == kNever) {
        s.removed_at = now_;
      } else if (!s.id.empty() && now_ - s.removed_at > kForgetRemovedAfter && s.in_flight_since.empty()) {
        by_name_.erase(s.id);
        s = {.id = {}, .state = ServerState::removed, .removed_at = s.removed_at, .by_class = {}};
        free_slots_.push_back(i);
      }
    }
  }

  // Rule: no sends to draining servers. A stale endpoint list may lack a drain; a part that was served proves
  // that its server wasn't draining when the part was sent.
  bool may_be_draining(const Server& s) const {
    return now_ >= list_freshness_.selectable_until(s.proved_ready_at);
  }

  // Mean cost estimate of a class in ms of work; 1 where no part had one yet.
  double mean_hint(int c) const {
    return class_statistics_[c].hint.samples ? class_statistics_[c].hint.mean : 1.0;
  }

  // Records a part's cost estimate and returns the value to use, in ms: clamped to a range around the class's
  // mean, or the mean itself where there is no valid estimate.
  double record_hint(int c, const std::optional<double>& hint) {
    Estimate& h = class_statistics_[c].hint;
    if (!hint || !std::isfinite(*hint) || *hint <= 0) return mean_hint(c);
    double x = h.samples < kMinSamples ? *hint : std::clamp(*hint, h.mean / kHintClamp, h.mean * kHintClamp);
    h.add(x);
    return x;
  }

  // Reported load of a server, in ms of work.
  double load(const Server& s, int c) const {
    // Deviation: an old report decays to the pool's recent mean.
    double freshness = std::exp((s.reported_at - now_) / kDecayTime);
    return (freshness * s.reported + (1 - freshness) * pool_load_.mean(now_, 0)) * mean_hint(c);
  }

  // Deviation: factor by which a server is slower than its peers, from kSlowdownThreshold on and up to
  // kMaxSlowdown; else 1. It decays while there are no new samples.
  double slowdown(const Server& s) const {
    if (s.response_ratio <= 0 || median_response_ratio_ <= 0) return 1;
    double ratio = s.response_ratio / median_response_ratio_;
    ratio = 1 + (ratio - 1) * std::exp(-(now_ - s.response_ratio_at) / (kSlowdownDecayTime * sparse_factor_));
    return ratio < kSlowdownThreshold ? 1 : std::min(ratio, kMaxSlowdown);
  }

  // Cost of placing a part of cost `x` on this server.
  double cost(const Server& s, int c, double x) const {
    return slowdown(s) * (s.outstanding_cost + load(s, c) + x) / s.size;
  }

  // Whether the server is a replica of the shard, by the layout rule of Settings::cells.
  bool is_replica_of(const Server& s, int shard) const {
    int j = (s.cell - shard) % settings_.cells;
    return (j + settings_.cells) % settings_.cells < settings_.cells_per_shard;
  }

  bool is_warming_up(const Server& s) const {
    return s.started && now_ - *s.started < settings_.warm_up_time;
  }

  // Whether the queries of a class come with cost estimates. Without any, a part's `hint` has no unit.
  bool has_hints(int c) const { return class_statistics_[c].hint.samples > 0; }

  // Work in ms that slow start counts for a part: its cost estimate, at least the class's mean. In classes
  // without cost estimates it is the mean response time.
  double warm_up_work(int c, double hint) const {
    if (has_hints(c)) return std::max(hint, mean_hint(c));
    const Estimate& response = class_statistics_[c].response;
    return response.samples < kMinSamples ? kUnknownPartWork : std::max(response.mean, 1.0);
  }

  // Records that a server completed a part of class `c`. What warm servers complete is a lower limit of what
  // a server can do once it is warm.
  void record_completed_work(const Server& s, int c, double hint) {
    if (!is_warming_up(s)) warm_work_completed_.add(warm_up_work(c, hint), now_);
  }

  // Work in ms per ms that a warm server of this size completes for this instance; 0 if there is none.
  double warm_work_rate(const Server& like) const {
    if (warm_size_ <= 0) return 0;
    double completed = warm_work_completed_.sum * warm_work_completed_.remaining(now_) / kDecayTime;
    return completed * like.size / warm_size_;
  }

  // Limit in ms of work on what this instance may send to a warming server within `overload_time`, for parts
  // of class `c`: its fraction of the server's capacity. Parts without cost estimates tell nothing of a
  // server's cores, so there the limit is at least this share of what warm servers complete.
  double warm_up_allowance(const Server& s, int c) const {
    double age = std::max(0.0, now_ - settings_.overload_time - *s.started) / settings_.warm_up_time;
    double share = settings_.warm_up_initial_share + (1 - settings_.warm_up_initial_share) * age;
    double warm_rate = kMinServerCores / settings_.instances;
    if (!has_hints(c)) warm_rate = std::max(warm_rate, warm_work_rate(s));
    return kWarmUpSafety * settings_.overload_multiple * share * warm_rate * settings_.overload_time;
  }

  // Rule: slow start. The work that this instance sends to a warming server and that may arrive there within
  // `overload_time` stays below warm_up_allowance(). Nothing is sent for `overload_time` after this
  // instance's own start, since what a previous process sent is unknown.
  bool warm_up_allows(Server& s, int c, double hint) {
    if (!is_warming_up(s) || settings_.overload_multiple <= 0) return true;
    if (now_ - started_at_ < settings_.overload_time && *s.started < started_at_) return false;
    double work = warm_up_work(c, hint);
    double allowance = warm_up_allowance(s, c);
    double sent = s.warm_up_window.work_since(now_ - settings_.overload_time);
    if (sent + work <= allowance) return true;
    // An allowance smaller than one part can only be kept on average, as otherwise no instance would send
    // before the server is warm: a random draw in each `overload_time` interval may admit one part. Unused
    // intervals raise the probability, up to kMaxUnusedIntervals.
    if (!s.warm_up_window.empty()) return false;
    if (now_ - s.admission_drawn_at >= settings_.overload_time) {
      Millis saved = now_ - std::max({s.admission_drawn_at, *s.started, started_at_});
      s.admission_drawn_at = now_;
      s.admission_draw = std::uniform_real_distribution<>(0, 1)(random_) /
                         std::clamp(saved / settings_.overload_time, 1.0, kMaxUnusedIntervals);
    }
    return s.admission_draw * work < kWarmUpAdmissionShare * allowance;
  }

  // Rank for selection, lower is preferred. 0: healthy; 1: healthy, but this part was already tried there;
  // 2: ejected as unresponsive or at capacity, or unresponsive now; 3: ejected for immediate failures, last
  // because such a server always has the least outstanding cost. Among equal ranks, cost alone decides.
  int health_rank(const Server& s, const Part& p, int c) const {
    int worst = 0;
    for (const ServerHealth* h : {&s.health, &s.by_class[c]})
      if (h->is_ejected && (now_ < h->ejected_until ||
                            !s.in_flight_since.empty()))  // else: one trial part after the ejection time
        worst = std::max(worst, h->failed_immediately ? 3 : 2);
    if (worst > 0) return worst;
    if (!s.in_flight_since.empty() &&
        now_ - std::max(*s.in_flight_since.begin(), s.last_answer) > response_timeout_)
      return 2;
    for (const Attempt& a : p.attempts)
      if (&servers_[a.server] == &s) return 1;
    return 0;
  }

  // Whether the server rejected this part as not the owner too recently to be asked again.
  bool denied_recently(int server, const Part& p) const {
    return std::any_of(p.attempts.begin(), p.attempts.end(), [&](const Attempt& a) {
      return a.server == server &&
             now_ - a.denied_at < kListPropagationTime * static_cast<double>(p.attempts.size());
    });
  }

  // Index of the eligible replica with the lowest (rank, cost), ties at random; -1: none. `c`: the class.
  int choose(const Part& p, int c, int max_health_rank = 3) {
    winchhall::placement::LeastCost<int> least;
    for (std::size_t k = 0; k < (p.holders ? p.holders->size() : servers_.size()); ++k) {
      auto named = p.holders ? by_name_.find((*p.holders)[k]) : by_name_.end();
      if (p.holders && named == by_name_.end()) continue;
      int i = p.holders ? named->second : static_cast<int>(k);
      Server& s = servers_[i];
      if (s.state != ServerState::ready || (!p.holders && !is_replica_of(s, p.shard)))
        continue;  // Rule: no sends to draining servers
      if (may_be_draining(s) || denied_recently(i, p)) continue;
      if (!warm_up_allows(s, c, p.hint)) continue;
      int rank = health_rank(s, p, c);
      if (rank <= max_health_rank) least.offer(i, cost(s, c, p.hint), random_, rank);
    }
    return least.empty() ? -1 : least.best();
  }

  // Time in ms after which an attempt counts as late: kLateDeviations deviations above the mean response
  // time, at most kLateShareOfTarget of the latency target.
  Millis late_after(int c) const {
    const Estimate& r = class_statistics_[c].response;
    Millis limit = kLateShareOfTarget * settings_.classes[c].latency_target;
    return r.samples < kMinSamples ? limit : std::min(r.mean + kLateDeviations * r.dev, limit);
  }

  // Time in ms after which a hedged attempt is sent.
  Millis hedge_after(int c) const {
    const ClassStatistics& l = class_statistics_[c];
    return l.response.samples < kMinSamples ? late_after(c)
                                            : std::min(kHedgeDelayRatio * l.median_response, late_after(c));
  }

  // Takes over a load report of a server; fields in the order of Settings::report_fields.
  void apply_report(const std::string& server, const std::vector<double>& report) {
    auto it = by_name_.find(server);
    if (it == by_name_.end() || !settings_.reports) return;
    // Uses the queue length if it is reported, else the number in flight.
    for (ReportField wanted : {ReportField::queued, ReportField::in_flight})
      for (std::size_t i = 0; i < report.size() && i < settings_.report_fields.size(); ++i)
        if (settings_.report_fields[i] == wanted) {
          if (!is_finite_nonnegative(report[i]) || report[i] > kMaxReportedLoad) return;
          servers_[it->second].reported = report[i];
          servers_[it->second].reported_at = now_;
          pool_load_.add(report[i], now_);
          return;
        }
  }

  // Records whether the server's last broken connection was a crash or a network fault, which shows later: a
  // server that answers within kMinRestartTime didn't crash. The estimate is shared by all servers and
  // assumes crashes until most recent cases were network faults.
  void resolve_broken_connection(Server& s, bool crashed_servers) {
    if (s.connection_broken_at == kNever) return;
    crash_estimate_.add(crashed_servers, now_);
    s.connection_broken_at = kNever;
  }

  // Updates health and statistics of a server from the end of an attempt.
  void record_outcome(Server& s, Outcome outcome, const Attempt& a, int c, double hint) {
    Millis took = now_ - a.sent;
    bool late = took > late_after(c);
    switch (outcome) {
      case Outcome::ok:
        s.last_answer = s.by_class[c].last_answer = now_;
        s.proved_ready_at = std::max(s.proved_ready_at, a.sent);
        if (a.sent < s.connection_broken_at || now_ - s.connection_broken_at < kMinRestartTime)
          resolve_broken_connection(s, false);
        record_success(s, s.health);
        record_success(s, s.by_class[c]);
        record_completed_work(s, c, hint);
        return record_response_time(s, took, a, c, hint);
      case Outcome::cancelled:
      case Outcome::timeout:
        if (took <= hedge_after(c)) return;  // cancelled early: no evidence
        record_response_time(s, took, a, c, hint);
        if (!late) return;
        // Counted for the class, like errors: a server may be unresponsive for one class only. Without any
        // answer it counts for the whole server; for both if this instance seldom sends there.
        if (s.by_class[c].last_answer >= a.sent) return;
        if (s.last_answer >= a.sent || sparse_factor_ > 1)
          record_failure(s, s.by_class[c], kEjectionScore, "no answer for one class: ");
        return s.last_answer < a.sent ? record_failure(s, s.health, kEjectionScore, "no answer: ") : void();
      case Outcome::error:
        // An error is a response, so the server isn't unresponsive. It counts for this class only.
        s.last_answer = s.by_class[c].last_answer = now_;
        return record_failure(s, s.by_class[c], 1, "error responses: ", true);
      case Outcome::full:
        s.last_answer = now_;
        return record_failure(s, s.health, kEjectionScore, "at capacity: ");
      case Outcome::reset:
        s.connection_broken_at = now_;
        return record_failure(s, s.health, crash_estimate_.mean(now_, 1) > 0.5 ? kEjectionScore : 1,
                              "connection broken: ", true);
      case Outcome::connect_failed:
        resolve_broken_connection(s, true);
        return record_failure(s, s.health, kEjectionScore, "connect failed: ", true);
      default:  // not executed, and no evidence against the server
        return;
    }
  }

  // Lowers the failure score and ends an ejection.
  void record_success(const Server& s, ServerHealth& h) {
    h.failure_score *= kFailureScoreDecay;
    if (h.is_ejected) log("server readmitted after ejection: " + s.id);
    if (!h.is_ejected) h.ejection_time = kBaseEjectionTime;
    h.is_ejected = false;
  }

  // Updates the class's response times, the pool's queueing rate and the server's response ratio.
  void record_response_time(Server& s, Millis took, const Attempt& a, int c, double hint) {
    class_statistics_[c].response.add(took);
    Millis& median = class_statistics_[c].median_response;
    median = median <= 0 ? took : took > median ? median * kMedianStep : median / kMedianStep;
    // Only parts that queued behind others show the rate at which a queue is processed. Logarithms limit the
    // influence of a few slow servers on the pool's mean.
    if (a.cost_ahead > 2 * hint) {
      double x = std::log(std::max(took, 1.0) / a.cost_ahead);
      log_queue_ratio_dev_.add(std::abs(x - log_queue_ratio_.mean(now_, 0)), now_);
      log_queue_ratio_.add(x, now_);
    }
    double x = took / std::max(hint, 1e-3);
    s.response_ratio = s.response_ratio <= 0 ? x : s.response_ratio + kMeanGain * 2 * (x - s.response_ratio);
    s.response_ratio_at = now_;
  }

  // Adds `weight` to the failure score; ejects the server at kEjectionScore, longer with each relapse.
  void record_failure(const Server& s, ServerHealth& h, double weight, const char* reason,
                      bool failed_immediately = false) {
    h.failure_score = std::min(h.failure_score + weight, 2 * kEjectionScore);
    if (h.failure_score < kEjectionScore || (h.is_ejected && now_ < h.ejected_until)) return;
    if (h.is_ejected || h.ejection_time > kBaseEjectionTime)
      h.ejection_time = std::min(2 * h.ejection_time, kMaxEjectionTime);
    if (!h.is_ejected) log("server ejected, " + (reason + s.id));
    h.is_ejected = true;
    h.failed_immediately = failed_immediately;
    h.ejected_until = now_ + h.ejection_time * sparse_factor_;
  }

  // Appends an action to those that the event in progress returns.
  void act(Action a) { actions_.push_back(std::move(a)); }
  // Emits a log line, limited by a token bucket (kLogBurst, kLogLinesPerSecond).
  void log(const std::string& text) {
    log_tokens_ = std::min(kLogBurst, log_tokens_ + kLogLinesPerSecond * (now_ - logged_at_) / 1000);
    logged_at_ = now_;
    if (log_tokens_ < 1) return;
    --log_tokens_;
    act(LogLine{text});
  }

  Settings settings_;
  std::mt19937_64 random_;
  Millis now_, started_at_, tick_interval_ = kTickInterval;
  std::vector<Action> actions_;
  std::vector<Server> servers_;
  std::map<std::string, int> by_name_;
  std::vector<int> free_slots_;  // unused slots of servers_
  std::vector<ClassStatistics> class_statistics_;
  DecayingMean crash_estimate_;  // share of broken connections that were server crashes
  DecayingMean attempts_ended_;  // counts ended attempts, for their rate
  double sparse_factor_ = 1;     // mean seconds between two attempts at one server, at least 1
  DecayingMean log_queue_ratio_, log_queue_ratio_dev_;  // log(response time / cost ahead), and its deviation
  DecayingMean pool_load_;                              // load reported by all servers, in queue items
  DecayingMean warm_work_completed_;  // ms of work that warm servers completed for this instance
  double warm_size_ = 0;              // sum of the sizes of the ready warm servers
  WarmUpWindow::SendId last_warm_up_send_ = 0;
  double median_response_ratio_ = 0;  // median of the ready servers' response ratios; 0: unknown
  // ms without an answer after which a server with attempts in flight counts as unresponsive.
  Millis response_timeout_ = std::numeric_limits<double>::infinity();
  winchhall::membership::EndpointListFreshness list_freshness_{{}, 0};
  double log_tokens_ = kLogBurst;
  Millis logged_at_ = now_;
};

}  // namespace winchhall::detail
