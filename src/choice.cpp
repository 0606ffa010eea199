// Every decision of pewterrill. The interface is include/pewterrill/coordinator.hpp.
//
// Ordinary path (docs/design.md): on arrival, parts are placed largest hint first, each on the replica of its
// shard with the smallest (own outstanding hinted cost + reported load + this part), ties at random.
// Everything else here departs from that path only under the condition stated where it stands.

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "pewterrill/coordinator.hpp"

namespace pewterrill {
namespace {

// ---- Tuned values: unit and reason ----------------------------------------------------------------------
constexpr double kHintClamp = 8;        // x class mean: a hint further off than this is taken for an error
constexpr int kTrusted = 12;            // samples before a learned figure replaces its starting value
constexpr double kMeanGain = 1.0 / 8;   // smoothing of means, as in TCP's round-trip estimate
constexpr double kDevGain = 1.0 / 4;    // smoothing of deviations, likewise
constexpr double kDevs = 4;             // mean + this many deviations: later than nearly all, likewise
constexpr double kPatienceOfAim = 0.5;  // of the aim: patience at the most, so that one more try still fits
constexpr Millis kReportStale = 2000;  // ms: a report, and what was learned of the tier, fades e-fold in this
constexpr double kSparseMost = 8;      // x: memory of servers seldom heard of stretches so far at most
constexpr double kReportMax = 1000;    // queued items: a report above this is taken for nonsense
constexpr double kPaceOff = 1.5;       // x the peers' median: a server's pace is clearly off from here on
constexpr double kPaceMax = 16;        // x: bound on pace, so that a mended server is tried again
constexpr Millis kPaceDrift = 5000;    // ms: without news, what a pace is off by shrinks e-fold in this time
constexpr double kStrikes = 1.6;       // failures that set a server aside: two in a row, or most of many ...
constexpr double kForgive = 0.5;       // ... as each success leaves this share of the strikes
constexpr Millis kRest = 500;        // ms set aside at first: a few service times; doubles with each relapse
constexpr Millis kRestMax = 4000;    // ms set aside at most: a sound server is found again within this time
constexpr double kColdSafety = 0.8;  // of the cold allowance: slack for what others send and for chance
constexpr double kLeastCores = 1;    // work ms per ms: what any warm server does at the least
constexpr double kMoveShare = 0.1;  // of first attempts may be repeated for lateness: it must not feed itself
constexpr double kMoveMost = 5;     // saved up at most: one query's parts
constexpr double kHedgeAfter = 3;   // x the usual response: later than that a second copy is sent
constexpr double kMedianStep = 1.05;  // x a sample: how fast the usual response is followed
constexpr double kLeastFit = 0.5;     // x mean response: with less time left a part is not sent any more
constexpr Millis kMoment = 60;  // ms: one that has not what it was asked for may have heard of a change then
constexpr Millis kRestart = 1500;      // ms: a process that fell does not answer again sooner
constexpr std::size_t kFellMany = 2;   // servers lost under one query before its parts go one at a time
constexpr Millis kSuspectFor = 60000;  // ms of wariness after a felling query: its clients ask again
constexpr double kPressed = 0.5;  // of the time left: where queues take more, parts that weigh little wait
constexpr double kUnservedFew = 0.2;   // up to here single servers are to blame; two steps on, overload is
constexpr Millis kPulse = 10;          // ms between checks of what is open, or two ticks where that is longer
constexpr Millis kForgetGone = 30000;  // ms after which nothing is owed on account of a server that is gone
constexpr Millis kAskEach = 30;      // ms of the list service for each broker: all are spread over their sum
constexpr double kLogLines = 200;    // log lines at once: enough for a bad hour, never a flood ...
constexpr double kLogPerSecond = 1;  // ... and so many a second again, or a long day ends without a word

constexpr double kEver = std::numeric_limits<double>::infinity(), kNever = -kEver;
constexpr double kWeightSlack = 5e-5;  // sums of weights may fall short by rounding ...
constexpr double kLeastSlack = 1e-9;   // ... and by so much however they were made

bool sound(double x) { return std::isfinite(x) && x >= 0; }

// Mean and mean deviation of what is seen, both smoothed.
struct Estimate {
  double mean = 0, dev = 0;
  int seen = 0;
  void add(double x) {
    if (!sound(x)) return;
    double off = seen++ == 0 ? x / 2 : std::abs(x - mean);
    dev += std::max(kDevGain, 1.0 / seen) * (off - dev);
    mean += std::max(kMeanGain, 1.0 / seen) * (x - mean);
  }
};

// Mean over the last moments, by time and not by count: with many brokers each sees little, and what it saw
// of the whole tier tells more about a server than nothing.
struct Recent {
  double sum = 0, weight = 0;
  Millis at = 0;
  void add(double x, Millis now) {
    double keep = std::exp((at - now) / kReportStale);
    sum = keep * sum + x;
    weight = keep * weight + 1;
    at = now;
  }
  double mean(Millis now, double start) const {  // `start` counts as one event
    double keep = std::exp((at - now) / kReportStale);
    return (keep * sum + start) / (keep * weight + 1);
  }
};

struct Attempt {
  int server = -1;
  Millis sent = 0;
  double cost = 0;         // what it added to its server's sum
  double ahead = 0;        // the sum it was placed at, itself included
  bool out = true;         // no outcome yet
  bool moving = false;     // cancelled by us
  bool started = false;    // its stream belongs to the client
  Millis denied = kNever;  // when the server said that it has not what was asked for
};

struct Part {
  std::string id;
  int query = -1;  // number of its query
  int shard = 0, step = 1;
  double weight = 0, hint = 0;
  std::optional<std::vector<std::string>> holders;  // by name, where stated
  int used = 0, resets = 0;                         // used: attempts of the parts that this one came from
  bool spare = false;                               // not needed as things stand
  bool done = false, dead = false;                  // dead: no further attempt is possible
  Millis first_maybe = kEver;                       // sending time of the first attempt that may have run
  std::vector<Attempt> attempts;
  bool out() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.out; });
  }
  int tries() const { return used + static_cast<int>(attempts.size()); }
};

struct Query {
  std::string id;
  int query_class = 0;
  Millis aim_at = 0, give_up_at = 0;
  int step = 1;
  bool first_whole = true;
  bool shortened = false;              // asked for a part of its parts only
  bool awaiting_step = false;          // answered the first step, second step's parts not in yet
  bool served = false, ended = false;  // served: a part has come back
  std::optional<std::uint64_t> key;    // its subject
  std::set<int> fell;                  // servers whose connections broke under its parts
  bool cautious = false;               // one part at a time, until one has come back
  int outstanding = 0;                 // attempts still owed an outcome
  double slack = kWeightSlack;         // no whole part is lost in it, however little it weighs
  double given[2] = {0, 0};  // shares its parts came with, by step: rounded, they may fall short of 1
  std::vector<std::string> parts;
};

// Whether a server is trusted, judged by what came back from it.
struct Health {
  double strikes = 0;
  bool aside = false;
  bool at_once = false;  // it failed at once, without work; else it was silent or full
  Millis last_answer = kNever, aside_until = kNever, rest = kRest;
};

struct Server {
  std::string id;
  int cell = 0;
  double size = 1;  // what it takes beside others, where an installation states it
  ServerState state = ServerState::ready;
  std::optional<Millis> started{};
  double sum = 0;  // hinted cost of own parts out
  double reported = 0;
  Millis reported_at = kNever;
  std::multiset<Millis> out_since{};  // sending times of own attempts out
  Millis gone_at = kNever;            // when the list first had it gone
  Millis last_answer = kNever;
  Millis cut_at = kNever;  // a connection broke under an attempt, and what that meant is not known yet
  double pace = 0;         // smoothed observed time over hint; 0: not known
  Millis paced_at = kNever;
  Health health{};               // of the whole server: silence, broken connections, full queues
  std::vector<Health> by_class;  // errors come by class: a server may fail one and serve another well
  Millis turn_at = kNever;       // when lots were last drawn for this cold server
  double turn = 1;               // the lot: under allowance / work it may be sent one part
  std::deque<std::pair<Millis, double>> cold_sent{};  // what this broker sent while it was cold
};

}  // namespace

class Coordinator::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, Millis now)
      : set_(std::move(settings)), random_(seed), now_(sound(now) ? now : 0), born_(now_) {
    if (set_.classes.empty()) set_.classes.emplace_back();
    set_.brokers = std::max(1, set_.brokers);
    set_.cells = std::max(1, set_.cells);
    set_.reach = std::clamp(set_.reach, 1, set_.cells);
    learned_.resize(set_.classes.size());
    pulse_ = std::max(kPulse, 2 * set_.tick);
  }

  std::vector<Action> start() {
    if (set_.list_on_request) ask_for_list();
    act(SetTimer{now_ + pulse_, 0});
    return std::exchange(actions_, {});
  }

  std::vector<Action> handle(Millis now, const Event& event) {
    if (sound(now)) now_ = std::max(now_, now);
    std::visit([this](const auto& e) { on(e); }, event);
    return std::exchange(actions_, {});
  }

 private:
  struct ClassLearned {
    Estimate hint;      // cost hints
    Estimate response;  // time from sending to answer
    Millis usual = 0;   // its median
    Millis wary_until = kNever;
  };

  // ---- The list of servers ------------------------------------------------------------------------------

  void on(const ServerList& list) {
    if (list.kind != ServerList::Kind::cached) {
      asked_open_ = false;
      watching_ = set_.list_on_request;
    }
    if (list.kind == ServerList::Kind::failed) {
      // Exponential backoff with full jitter (Brooker 2015) over a time that grows with the fleet: all fail
      // in one moment, and a service that all of them ask again at once answers none in time.
      watching_ = false;
      Millis first = std::max(set_.must_ask_in / 40, kAskEach * set_.brokers);
      Millis most = std::max(set_.must_ask_in / 4, 4 * first);
      ask_wait_ = ask_wait_ > 0 ? std::min(2 * ask_wait_, most) : first;
      ask_at_ = now_ + ask_wait_ * std::uniform_real_distribution<>(0, 1)(random_);
      return log("list call failed");
    }
    if (watching_) ask_wait_ = 0;
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
    retry_waiting();
  }

  // Guards against a table that grows for ever: one gone for good with nothing out makes room.
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

  void ask_for_list() {
    act(WatchList{true});
    asked_open_ = true;
    asked_at_ = now_;
    ask_at_ = kEver;
  }

  void keep_list() {
    if (!set_.list_on_request) return;
    // A call without an answer counts as failed after half the time in which we must have asked.
    if (!watching_ && (now_ >= ask_at_ || (asked_open_ && now_ - asked_at_ > set_.must_ask_in / 2)))
      ask_for_list();
  }

  // ---- Costs and the choice of replica ------------------------------------------------------------------

  double mean_hint(int c) const { return learned_[c].hint.seen ? learned_[c].hint.mean : 1.0; }

  double take_hint(int c, const std::optional<double>& hint) {
    Estimate& h = learned_[c].hint;
    if (!hint || !std::isfinite(*hint) || *hint <= 0) return mean_hint(c);
    double x = h.seen < kTrusted ? *hint : std::clamp(*hint, h.mean / kHintClamp, h.mean * kHintClamp);
    h.add(x);
    return x;
  }

  double load(const Server& s, int c) const {
    // Departure: a report that nothing refreshes fades to what the tier reports of late. A server once told
    // busy is not shunned for good, and where each broker hears little of each server, load is still seen.
    double fresh = std::exp((s.reported_at - now_) / kReportStale);
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

  // Rule: a cold server. What this broker sends within `fall_time` stays under its fraction of the allowance.
  // For that long after our own start nothing is sent: what we sent before it is not known.
  bool cold_allows(Server& s, double work) {
    if (!s.started || set_.fall_multiple <= 0 || now_ - *s.started >= set_.cold_time) return true;
    if (now_ - born_ < set_.fall_time && *s.started < born_) return false;
    while (!s.cold_sent.empty() && s.cold_sent.front().first < now_ - set_.fall_time) s.cold_sent.pop_front();
    double age = std::max(0.0, now_ - set_.fall_time - *s.started) / set_.cold_time;
    double capacity = kLeastCores * (set_.cold_share + (1 - set_.cold_share) * age);
    double allowance = kColdSafety * set_.fall_multiple * capacity * set_.fall_time / set_.brokers;
    for (const auto& sent : s.cold_sent) work += sent.second;
    if (work <= allowance) return true;
    // Where the share is less than one part, or nobody would send before the server is warm: it is kept in
    // expectation. In each span one part may go, with the chance that keeps the sum over all brokers.
    if (!s.cold_sent.empty()) return false;
    if (now_ - s.turn_at >= set_.fall_time) {
      s.turn_at = now_;
      s.turn = std::uniform_real_distribution<>(0, 1)(random_);
    }
    return s.turn * work < allowance;
  }

  // 0: sound; 1: this part was there before; 2: silent, or full; 3: fails at once. Lower goes first: when all
  // replicas look equally bad none of it is believed and the least sum decides again. A server that fails at
  // once ranks last, as its sum is always least: it would draw all when overload makes others look silent.
  int distrust(const Server& s, const Part& p, int c) const {
    int worst = 0;
    for (const Health* h : {&s.health, &s.by_class[c]})
      if (h->aside && (now_ < h->aside_until || !s.out_since.empty()))  // else: one trial part
        worst = std::max(worst, h->at_once ? 3 : 2);
    if (worst > 0) return worst;
    bool waited_for = !s.out_since.empty();
    if (waited_for && now_ - std::max(*s.out_since.begin(), s.last_answer) > quiet_after_) return 2;
    for (const Attempt& a : p.attempts)
      if (&servers_[a.server] == &s) return 1;
    return 0;
  }

  bool denied_lately(int server, const Part& p) const {
    for (const Attempt& a : p.attempts)
      if (a.server == server && now_ - a.denied < kMoment * static_cast<double>(p.attempts.size()))
        return true;
    return false;
  }

  int choose(const Part& p, int c, int most_distrust = 3) {
    int best = -1, best_distrust = most_distrust, ties = 0;
    double best_cost = 0;
    for (std::size_t k = 0; k < (p.holders ? p.holders->size() : servers_.size()); ++k) {
      auto named = p.holders ? by_name_.find((*p.holders)[k]) : by_name_.end();
      if (p.holders && named == by_name_.end()) continue;
      int i = p.holders ? named->second : static_cast<int>(k);
      Server& s = servers_[i];
      if (s.state != ServerState::ready || (!p.holders && !holds(s, p.shard))) continue;  // Rule: drains
      if (denied_lately(i, p)) continue;
      if (!cold_allows(s, std::max(p.hint, mean_hint(c)))) continue;
      int d = distrust(s, p, c);
      double x = cost(s, c, p.hint);
      if (d > best_distrust || (best >= 0 && d == best_distrust && x > best_cost)) continue;
      if (d < best_distrust || x < best_cost) ties = 0;
      ++ties;
      if (ties == 1 || std::uniform_int_distribution<>(1, ties)(random_) == 1) best = i;
      best_distrust = d;
      best_cost = x;
    }
    return best;
  }

  // ---- Attempts -----------------------------------------------------------------------------------------

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
    taken_.emplace_back(now_, static_cast<double>(requests));
    taken_in_window_ += taken_.back().second;
  }

  // Guards against lateness that feeds itself: a part moved or copied because late adds load when there is
  // too much. First attempts pay for those. What was turned away never ran, and the rest of its query would
  // be lost.
  bool spare_load() { return moves_saved_ >= 1 && moves_saved_-- > 0; }

  // Rule: no effect twice. May this part be sent (again) now?
  bool repeat_allowed(const Part& p, const ClassSettings& c) const {
    if (p.out() || p.tries() >= std::max(1, set_.max_attempts)) return false;
    if (p.first_maybe == kEver || c.repeat == Repeat::safe) return true;
    return c.repeat == Repeat::keyed && now_ + set_.tick < p.first_maybe + c.repeat_window;
  }

  // The time until which an answer of this query still earns something.
  Millis useful_until(const Query& q) const {
    return set_.classes[q.query_class].late_worth > 0 ? q.give_up_at - pulse_ : q.aim_at - margin();
  }
  Millis margin() const { return 2 * set_.tick; }

  Millis patience(int c) const {
    const Estimate& r = learned_[c].response;
    Millis most = kPatienceOfAim * set_.classes[c].aim;
    return r.seen < kTrusted ? most : std::min(r.mean + kDevs * r.dev, most);
  }

  Millis hedge_after(int c) const {
    const ClassLearned& l = learned_[c];
    return l.response.seen < kTrusted ? patience(c) : std::min(kHedgeAfter * l.usual, patience(c));
  }

  // Reserves the best replica for a part; the sum includes it from here on.
  bool place(Part& p, int c, int most_distrust = 3) {
    int server = choose(p, c, most_distrust);
    if (server < 0) return false;
    Server& s = servers_[server];
    p.attempts.push_back({server, now_, p.hint, s.sum + load(s, c) + p.hint});
    s.sum += p.hint;
    s.out_since.insert(now_);
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
    if (s.started && now_ - *s.started < set_.cold_time)
      s.cold_sent.emplace_back(now_, std::max(p.hint, mean_hint(q.query_class)));
    Millis timeout = useful_until(q) - now_;
    if (!set_.may_cancel && c.repeat == Repeat::safe) timeout = std::min(timeout, patience(q.query_class));
    ++q.outstanding;
    act(SendPart{p.id, s.id, std::max(timeout, 1.0)});
  }

  // One further attempt, if rule, budget and time allow; false if the part must wait or is dead.
  bool try_part(Query& q, Part& p) {
    const ClassSettings& c = set_.classes[q.query_class];
    if (p.out() || p.done || p.dead) return false;
    if (!repeat_allowed(p, c)) {
      p.dead = true;
      return false;
    }
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

  // ---- A query's life -----------------------------------------------------------------------------------

  void on(const QueryArrived& e) {
    count_taken(1 + e.parts.size());
    if (query_numbers_.count(e.query)) return;
    int number = next_query_++;
    query_numbers_[e.query] = number;
    Query& q = queries_[number];
    q.id = e.query;
    q.query_class = std::clamp(e.query_class, 0, static_cast<int>(set_.classes.size()) - 1);
    q.give_up_at = std::isfinite(e.give_up_at) ? e.give_up_at : now_;
    q.aim_at = std::min(now_ + set_.classes[q.query_class].aim, q.give_up_at - pulse_);
    q.key = e.key;
    take_parts(number, e.parts);
    if (q.key && condemned_.count(*q.key)) return end(q, true);
    q.cautious = now_ < learned_[q.query_class].wary_until;
    place_step(number);
  }

  void on(const PartsAdded& e) {
    count_taken(e.parts.size());
    auto it = query_numbers_.find(e.query);
    if (it == query_numbers_.end() || !queries_[it->second].awaiting_step) return;
    Query& q = queries_[it->second];
    q.awaiting_step = false;
    q.step = 2;
    take_parts(it->second, e.parts);
    place_step(it->second);
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
    q.slack = std::min(q.slack, std::max(p.weight / 2, kLeastSlack));
    q.given[p.step == 2] += p.weight;
    if (parts_.emplace(spec.part, std::move(p)).second) q.parts.push_back(spec.part);
  }

  // Rule: three attempts a part at most. Ranges that split or merge don't give their parts new ones.
  void on(const PartsReplaced& e) {
    Part heir;
    for (const std::string& id : e.parts) {
      auto it = parts_.find(id);
      if (it == parts_.end() || it->second.out() || it->second.done) return;
      const Part& p = it->second;
      heir.query = p.query;
      heir.step = p.step;
      heir.used = std::max(heir.used, p.tries());
      heir.resets = std::max(heir.resets, p.resets);
      heir.spare = p.spare;
      heir.dead |= p.dead;
      heir.first_maybe = std::min(heir.first_maybe, p.first_maybe);
    }
    auto found = queries_.find(heir.query);
    if (found == queries_.end() || found->second.ended || found->second.step != heir.step) return;
    Query& q = found->second;
    for (const std::string& id : e.parts) {
      parts_.erase(id);
      std::erase(q.parts, id);
    }
    for (const PartSpec& spec : e.successors)
      add_part(q, heir, spec, spec.hint && sound(*spec.hint) ? *spec.hint : mean_hint(q.query_class));
    for (const PartSpec& spec : e.successors)
      if (Part& p = parts_.at(spec.part); !p.spare && !q.awaiting_step) try_part(q, p);
    settle(heir.query);
  }

  void on(const HoldersChanged& e) {
    auto it = parts_.find(e.part);
    if (it == parts_.end() || queries_.at(it->second.query).ended) return;
    Part& p = it->second;
    Query& q = queries_.at(p.query);
    p.holders = e.holders;
    if (!p.spare && !q.awaiting_step && p.step == q.step) try_part(q, p);
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
  void place_step(int number) {
    Query& q = queries_[number];
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
    settle(number);
  }

  // Departure, where an answer from fewer parts is allowed and the queues take most of the time left: the
  // parts that weigh least for their work are not sent, down to the floor. Others are served with that work.
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
  void settle(int number) {
    auto it = queries_.find(number);
    if (it == queries_.end() || it->second.ended || it->second.awaiting_step) return;
    Query& q = it->second;
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
    if (q.step == 1 && set_.classes[q.query_class].second_step_parts > 0) {
      q.first_whole = whole;
      q.awaiting_step = true;
      return;
    }
    close(q);
  }

  // Gives a query up at once: refused where trying again is harmless and can still pay, else failed.
  void end(Query& q, bool sent) {
    const ClassSettings& c = set_.classes[q.query_class];
    bool harmless = q.step == 1;
    unserved_.add(1, now_);
    for (const std::string& id : q.parts) {
      const Part& p = parts_.at(id);
      if (c.repeat != Repeat::safe && (p.first_maybe < kEver || p.out() || p.done)) harmless = false;
    }
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
    for (const std::string& id : q.parts) {
      Part& p = parts_.at(id);
      if (set_.may_cancel) cancel(p);
    }
    closed_.push_back(query_numbers_.at(q.id));
  }

  void cancel(Part& p) {
    for (Attempt& a : p.attempts)
      if (a.out && !a.started && !std::exchange(a.moving, true))
        act(CancelAttempt{p.id, static_cast<int>(&a - p.attempts.data())});
  }

  void forget_closed() {
    std::erase_if(closed_, [&](int number) {
      Query& q = queries_.at(number);
      if (q.outstanding > 0) return false;
      for (const std::string& id : q.parts) parts_.erase(id);
      query_numbers_.erase(q.id);
      queries_.erase(number);
      return true;
    });
  }

  void on(const QueryWithdrawn& e) {
    auto it = query_numbers_.find(e.query);
    if (it == query_numbers_.end() || queries_[it->second].ended) return;
    close(queries_[it->second]);
  }

  // ---- Outcomes and health ------------------------------------------------------------------------------

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
      if (e.part_closed || (e.outcome == Outcome::timeout && !spare_load()))
        p.dead = true;
      else if (!q.awaiting_step && p.step == q.step)
        try_part(q, p);
    }
    settle(p.query);
  }

  // Guards against a query that brings down every server it reaches. Once several fell, its parts go one at a
  // time; it is condemned, with its subject, when another falls or nothing came back. Bystanders lose a try.
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

  // A broken connection means a fallen server or only a cut line, told apart by what the server does next:
  // one that answers what was sent before, or soon after, never fell; one that takes no connection did.
  // Pooled, and believed a fall until most recent cases say otherwise. A cut is then an error like others.
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
        if (a.sent < s.cut_at || now_ - s.cut_at < kRestart) explain_cut(s, false);
        forgive(s, s.health);
        forgive(s, s.by_class[c]);
        return learn(s, took, a, c, hint);
      case Outcome::cancelled:
      case Outcome::timeout:
        if (took <= hedge_after(c)) return;  // no longer needed, or short of time: says nothing
        learn(s, took, a, c, hint);
        if (!late) return;
        // Silence is judged by class like errors: a server may swallow one class and serve another. Nothing
        // at all from a server often heard of is the server's; one seldom heard of is struck for both.
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

  // ---- The pulse ----------------------------------------------------------------------------------------

  void on(const TimerFired&) {
    act(SetTimer{now_ + pulse_, 0});
    keep_list();
    quiet_after_ = 0;
    for (std::size_t c = 0; c < set_.classes.size(); ++c)
      quiet_after_ = std::max(quiet_after_, patience(static_cast<int>(c)));
    // Departure: what is known of a server lasts longer where this broker seldom hears of it, or it would be
    // forgotten before the next part. 1 where each server answers once a second.
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
    double per_second = 1000 * heard_.weight * std::exp((heard_.at - now_) / kReportStale) / kReportStale;
    sparse_ = std::clamp(ready / std::max(per_second, 1e-3), 1.0, kSparseMost);
    for (auto& [number, q] : queries_) {
      if (q.ended) continue;
      if (q.awaiting_step) {
        if (now_ >= q.give_up_at - pulse_) end(q, true);
        continue;
      }
      move_overdue(q);
      settle(number);
    }
    retry_waiting();
    forget_closed();
    std::erase_if(condemned_, [&](const auto& key) { return now_ - key.second > kSuspectFor; });
  }

  // Guards against one slow server that keeps a whole query waiting. Where copies are allowed, a part late by
  // the usual response gets one on a trusted replica (hedged requests, Dean and Barroso 2013): heard of too
  // seldom, slow looks like silent. Elsewhere it leaves a server that has answered nothing since.
  void move_overdue(Query& q) {
    int c = q.query_class;
    for (Part* p : step_parts(q)) {
      if (!p->out() || p->attempts.back().moving || p->attempts.back().started) continue;
      const Attempt& a = p->attempts.back();
      bool copy = set_.may_hedge && set_.classes[c].repeat == Repeat::safe && !p->holders;
      if (now_ - a.sent <= (copy ? hedge_after(c) : patience(c)) || start_spare(q)) continue;
      if (!set_.may_cancel || set_.classes[c].repeat == Repeat::unsafe) continue;
      if (p->tries() >= set_.max_attempts || !budget_allows()) continue;
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
  Recent falls_;       // broken connections that were falls of the server (1) or cut lines (0)
  Recent heard_;       // attempts ended
  double sparse_ = 1;  // mean seconds between two of them at one server, at least 1
  double moves_saved_ = kMoveMost;
  double most_parts_ = 0;       // of any query so far
  Recent unserved_;             // share of recent queries that earned nothing
  Recent spread_, spread_dev_;  // log of response time over the sum it was placed at, and its deviation
  Recent tier_load_;            // items reported by any server
  double typical_pace_ = 0;
  Millis quiet_after_ = std::numeric_limits<double>::infinity();
  std::map<int, Query> queries_;  // by number, in order of arrival
  std::map<std::string, int> query_numbers_;
  std::map<std::string, Part> parts_;
  std::vector<int> closed_;
  int next_query_ = 0;
  std::map<std::uint64_t, Millis> condemned_;  // subjects of queries that fell servers, and since when
  std::deque<std::pair<Millis, double>> taken_;
  double taken_in_window_ = 0;
  std::deque<Millis> further_;
  bool watching_ = false, asked_open_ = false;
  Millis asked_at_ = 0, ask_at_ = std::numeric_limits<double>::infinity(), ask_wait_ = 0;
  double log_left_ = kLogLines;
  Millis logged_at_ = now_;
};

Coordinator::Coordinator(Settings settings, std::uint64_t seed, Millis now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Coordinator::~Coordinator() = default;
Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator& Coordinator::operator=(Coordinator&&) noexcept = default;
std::vector<Action> Coordinator::start() { return impl_->start(); }
std::vector<Action> Coordinator::handle(Millis now, const Event& event) { return impl_->handle(now, event); }

}  // namespace pewterrill
