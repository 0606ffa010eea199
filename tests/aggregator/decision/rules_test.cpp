// The six rules under disorder: long odd-but-legal event sequences over several kinds of settings, checked
// from the actions alone, without the module's own bookkeeping. It is a test of rules, not a simulator:
// outcomes are drawn at random, and nothing here says how well a choice was made.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/aggregator/decision/driver.hpp"

namespace winchhall::testing {
namespace {

struct PartSeen {
  explicit PartSeen(std::string of = {}, double w = 0, bool second = false)
      : query(std::move(of)), weight(w), step_two(second) {}
  std::string query;
  double weight = 0;
  bool step_two = false, done = false;
  std::string out_at;  // server of the attempt that is out, or empty
  int attempts = 0;
  bool may_have_run = false;
  Millis first_possible_run = 0;
};

struct QuerySeen {
  int query_class = 0;
  Millis give_up_at = 0;
  int answers = 0;
  bool ended = false, first_step_complete = true;
};

struct Pending {
  std::string part, server;
  int attempt;
  Millis sent, timeout;
};

class Disorder {
 public:
  Disorder(Settings settings, std::uint64_t seed)
      : set_(std::move(settings)), random_(seed), driver_(set_, seed) {
    check(driver_.last);
  }

  void run(int steps) {
    list(true);
    for (int i = 0; i < steps && !::testing::Test::HasFailure(); ++i) {
      driver_.now += 5;
      while (!timers_.empty() && *timers_.begin() <= driver_.now) {
        timers_.erase(timers_.begin());
        check(driver_.event(TimerFired{0}));
      }
      withdraw_overdue();
      time_outs();
      switch (draw(12)) {
        case 0:
        case 1:
        case 2:
          query();
          break;
        case 3:
          if (draw(10) == 0) list(draw(2) == 0);
          break;
        case 4:
          if (draw(20) == 0) restart_server();
          break;
        case 5:
          check(driver_.event(TimerFired{draw(100)}));
          break;
        case 6:
          stray();
          break;
        default:
          outcome();
          break;
      }
    }
  }

  std::map<std::string, int> finals;
  int sends = 0;

 private:
  int draw(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

  void query() {
    QueryArrived q;
    q.query = "q" + std::to_string(next_++);
    q.query_class = draw(static_cast<int>(set_.classes.size()));
    q.give_up_at = driver_.now + 300 + draw(1500);
    if (draw(2)) q.key = static_cast<std::uint64_t>(draw(20));
    int parts = 1 + draw(6);
    std::vector<double> weights;
    double sum = 0;
    for (int i = 0; i < parts; ++i) sum += weights.emplace_back(1 + draw(5));
    for (int i = 0; i < parts; ++i) {
      PartSpec p{q.query + "/" + std::to_string(i), draw(set_.cells), weights[i] / sum, 1.0 + draw(150)};
      parts_[p.part] = PartSeen(q.query, p.weight);
      q.parts.push_back(p);
    }
    QuerySeen seen;
    seen.query_class = q.query_class;
    seen.give_up_at = q.give_up_at;
    queries_[q.query] = seen;
    open_.insert(q.query);
    taken_.emplace_back(driver_.now, parts + 1);
    check(driver_.event(q));
  }

  void list(bool complete) {
    ServerList l;
    l.kind = complete  ? ServerList::Kind::complete
             : draw(4) ? ServerList::Kind::changes
                       : ServerList::Kind::failed;
    for (int i = 0; i < kServers && l.kind != ServerList::Kind::failed; ++i) {
      if (!complete && draw(3)) continue;
      ServerEntry e = entry(i);
      e.state = draw(6) == 0 ? ServerState::draining : ServerState::ready;
      if (e.state == ServerState::ready)
        told_away_.erase(e.server);
      else
        told_away_.insert({e.server, driver_.now});
      l.servers.push_back(e);
    }
    check(driver_.event(l));
  }

  ServerEntry entry(int i) {
    ServerEntry e = Driver::entry("s" + std::to_string(i));
    e.cell = i % set_.cells;
    if (auto it = started_.find(e.server); it != started_.end()) e.started = it->second;
    return e;
  }

  void restart_server() {
    int i = draw(kServers);
    std::string server = "s" + std::to_string(i);
    started_[server] = std::max(0.001, driver_.now - draw(500));
    told_away_.erase(server);
    told_cold_[server] = driver_.now;
    check(driver_.event(ServerList{ServerList::Kind::changes, {entry(i)}}));
  }

  void time_outs() {
    for (std::size_t i = 0; i < pending_.size();) {
      if (driver_.now < pending_[i].sent + pending_[i].timeout) {
        ++i;
        continue;
      }
      Pending p = pending_[i];
      pending_.erase(pending_.begin() + static_cast<long>(i));
      report(p, Outcome::timeout);
    }
  }

  void outcome() {
    if (pending_.empty()) return;
    std::size_t i = static_cast<std::size_t>(draw(static_cast<int>(pending_.size())));
    Pending p = pending_[i];
    pending_.erase(pending_.begin() + static_cast<long>(i));
    static const Outcome all[] = {Outcome::ok,   Outcome::ok,      Outcome::ok,    Outcome::ok,
                                  Outcome::full, Outcome::timeout, Outcome::error, Outcome::connect_failed,
                                  Outcome::reset};
    report(p, all[draw(9)]);
  }

  void report(const Pending& p, Outcome o) {
    PartSeen& part = parts_.at(p.part);
    part.out_at.clear();
    bool never = o == Outcome::full || o == Outcome::connect_failed || o == Outcome::unsent;
    if (!never && !part.may_have_run) {
      part.may_have_run = true;
      part.first_possible_run = p.sent;
    }
    if (o == Outcome::ok) part.done = true;
    AttemptEnded e;
    e.part = p.part;
    e.attempt = p.attempt;
    e.server = p.server;
    e.outcome = o;
    e.elapsed = driver_.now - p.sent;
    e.part_closed = o == Outcome::ok || queries_.at(part.query).ended;
    e.report = {draw(3) ? double(draw(9)) : -1e30};
    check(driver_.event(e));
    if (draw(5) == 0) check(driver_.event(e));  // said twice
  }

  void withdraw_overdue() {
    for (auto it = open_.begin(); it != open_.end();) {
      const std::string id = *it++;
      QuerySeen& q = queries_.at(id);
      if (q.ended) {
        open_.erase(id);
        continue;
      }
      ASSERT_LE(driver_.now, q.give_up_at + 15) << id << " has no final answer";
      if (draw(2000) == 0) {
        q.ended = true;
        check(driver_.event(QueryWithdrawn{id}));
      }
    }
  }

  void stray() {
    check(driver_.ended("q" + std::to_string(draw(next_ + 1)) + "/9", "s0", Outcome::ok));
    check(driver_.event(QueryWithdrawn{"never"}));
    Millis keep = driver_.now;
    driver_.now -= 1000;  // time goes back
    check(driver_.event(PeerMessage{1, "x"}));
    driver_.now = keep;
  }

  void check(const std::vector<Action> actions) {
    std::vector<std::string> to_cancel;
    for (const Action& a : actions) {
      if (const auto* s = std::get_if<SendPart>(&a)) sent(*s);
      if (const auto* t = std::get_if<SetTimer>(&a)) timers_.insert(t->at);
      if (const auto* f = std::get_if<FailQuery>(&a)) final_answer(f->query, "fail");
      if (const auto* r = std::get_if<RefuseQuery>(&a)) refused(r->query);
      if (const auto* w = std::get_if<AnswerQuery>(&a)) answered(*w);
      if (const auto* c = std::get_if<CancelAttempt>(&a)) {
        ASSERT_TRUE(set_.may_cancel);
        to_cancel.push_back(c->part);
      }
    }
    for (const std::string& part : to_cancel)
      for (std::size_t i = 0; i < pending_.size(); ++i)
        if (pending_[i].part == part) {
          Pending p = pending_[i];
          pending_.erase(pending_.begin() + static_cast<long>(i));
          report(p, draw(4) ? Outcome::cancelled : Outcome::ok);
          break;
        }
  }

  void sent(const SendPart& s) {
    ++sends;
    PartSeen& p = parts_.at(s.part);
    const QuerySeen& q = queries_.at(p.query);
    const ClassSettings& c = set_.classes[q.query_class];
    ASSERT_FALSE(q.ended) << "sent after the final answer";
    ASSERT_FALSE(p.done);
    ASSERT_TRUE(p.out_at.empty()) << "two attempts at once";
    ASSERT_LT(p.attempts, set_.max_attempts);
    ASSERT_GT(s.timeout, 0);
    if (p.may_have_run) {
      ASSERT_NE(c.idempotency, Idempotency::unsafe);
      if (c.idempotency == Idempotency::keyed) {
        ASSERT_LE(driver_.now, p.first_possible_run + c.idempotency_window);
      }
    }
    if (auto it = told_away_.find(s.server); it != told_away_.end()) {
      ASSERT_LE(driver_.now, it->second + set_.drain_grace);
    }
    if (p.attempts > 0 && set_.budget) {
      while (!further_.empty() && further_.front() < driver_.now - set_.budget_window) further_.pop_front();
      double taken = 0;
      for (auto t = taken_.rbegin(); t != taken_.rend() && t->first >= driver_.now - set_.budget_window; ++t)
        taken += t->second;
      further_.push_back(driver_.now);
      ASSERT_LE(double(further_.size()), set_.budget_free + set_.budget_share * taken);
    }
    if (auto it = started_.find(s.server); it != started_.end() && told_cold_.at(s.server) <= driver_.now &&
                                           driver_.now - it->second < set_.warm_up_time) {
      auto& cold = cold_sent_[s.server];
      cold.push_back(driver_.now);
      while (cold.front() < driver_.now - set_.overload_time) cold.pop_front();
      double share = set_.warm_up_initial_share +
                     (1 - set_.warm_up_initial_share) * (driver_.now - it->second) / set_.warm_up_time;
      // Hints run from 1 to 150, so that a part counts for at least the mean less its wander: 40.
      ASSERT_LE(40.0 * double(cold.size()),
                set_.overload_multiple * share * set_.overload_time / set_.instances);
    }
    p.out_at = s.server;
    pending_.push_back({s.part, s.server, p.attempts++, driver_.now, s.timeout});
  }

  void final_answer(const std::string& id, const std::string& kind) {
    QuerySeen& q = queries_.at(id);
    ASSERT_FALSE(q.ended) << "a second final answer";
    q.ended = true;
    ++finals[kind];
  }

  void refused(const std::string& id) {
    for (auto it = parts_.lower_bound(id + "/"); it != parts_.end() && it->second.query == id; ++it)
      if (const PartSeen& p = it->second;
          set_.classes[queries_.at(id).query_class].idempotency == Idempotency::unsafe) {
        ASSERT_FALSE(p.may_have_run || !p.out_at.empty()) << "refused what may have run";
      }
    final_answer(id, "refuse");
  }

  void answered(const AnswerQuery& a) {
    QuerySeen& q = queries_.at(a.query);
    const ClassSettings& c = set_.classes[q.query_class];
    bool two = q.answers > 0;
    double in = 0;
    for (auto it = parts_.lower_bound(a.query + "/"); it != parts_.end() && it->second.query == a.query; ++it)
      if (const PartSeen& p = it->second; p.step_two == two && p.done) in += p.weight;
    double need = two ? 1.0 : c.complete_share;
    ASSERT_GE(in + 1e-4, std::min(c.min_share, need));
    if (a.complete) {
      ASSERT_GE(in + 1e-4, need);
      ASSERT_TRUE(q.first_step_complete);
    }
    if (!two) q.first_step_complete = a.complete;
    ++q.answers;
    if (!two && c.second_step_parts > 0) {
      PartSpec p{a.query + "/second", draw(set_.cells), 1.0, 20.0};
      parts_[p.part] = PartSeen(a.query, 1.0, true);
      steps_.push_back({a.query, {p}});
      taken_.emplace_back(driver_.now, 1);
      PartsAdded added = steps_.back();
      check(driver_.event(added));
      return;
    }
    final_answer(a.query, "answer");
  }

  static constexpr int kServers = 8;
  Settings set_;
  std::mt19937_64 random_;
  Driver driver_;
  int next_ = 0;
  std::map<std::string, QuerySeen> queries_;
  std::map<std::string, PartSeen> parts_;
  std::set<std::string> open_;
  std::vector<Pending> pending_;
  std::multiset<Millis> timers_;
  std::map<std::string, Millis> told_away_, started_, told_cold_;
  std::map<std::string, std::deque<Millis>> cold_sent_;
  std::deque<std::pair<Millis, int>> taken_;
  std::deque<Millis> further_;
  std::vector<PartsAdded> steps_;
};

Settings kind_of_site(int kind) {
  Settings s = plain_settings(kind == 2 ? 2 : 4);
  s.classes[0].latency_target = 400;
  s.cells = kind == 3 ? 4 : 2;
  s.cells_per_shard = kind == 3 ? 2 : 1;
  s.tick = 5;
  s.may_cancel = kind != 1;
  s.reports = true;
  s.report_fields = {ReportField::queued};
  s.drain_grace = 100;
  s.instances = 2;
  s.warm_up_time = 3000;
  ClassSettings partial = s.classes[0];
  partial.min_share = 0.4;
  partial.partial_value = 0.9;
  partial.complete_share = kind == 1 ? 0.7 : 1;
  s.classes.push_back(partial);
  ClassSettings unsafe = s.classes[0];
  unsafe.idempotency = Idempotency::unsafe;
  unsafe.late_value = 0.3;
  s.classes.push_back(unsafe);
  ClassSettings keyed = s.classes[0];
  keyed.idempotency = Idempotency::keyed;
  keyed.idempotency_window = 150;
  s.classes.push_back(keyed);
  ClassSettings stepped = partial;
  stepped.second_step_parts = 1;
  s.classes.push_back(stepped);
  if (kind >= 2) {
    s.budget = true;
    s.budget_free = 3;
    s.budget_share = 0.1;
    s.budget_window = 700;
  }
  if (kind == 3) {
    s.list_on_request = true;
    s.max_poll_interval = 10000;
  }
  return s;
}

TEST(RulesUnderDisorder, HoldForAllKindsOfSettings) {
  std::map<std::string, int> finals;
  int sends = 0;
  for (int kind = 0; kind < 4; ++kind)
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE("kind " + std::to_string(kind) + ", seed " + std::to_string(seed));
      Disorder d(kind_of_site(kind), seed);
      d.run(2000);
      for (const auto& [what, n] : d.finals) finals[what] += n;
      sends += d.sends;
      if (HasFailure()) return;
    }
  // The sequences must have reached every kind of end, or they would prove little.
  EXPECT_GT(finals["answer"], 1000);
  EXPECT_GT(finals["fail"], 100);
  EXPECT_GT(finals["refuse"], 100);
  EXPECT_GT(sends, 10000);
}

}  // namespace
}  // namespace winchhall::testing
