// The operators' six rules under long random sequences of unusual but legal events, for several kinds of
// settings. The rules are checked from the actions alone, independently of the module's own state. Outcomes
// are drawn at random: the test says nothing about the quality of the choices.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "tests/aggregator/decision/driver.hpp"

namespace winchhall::testing {
namespace {

// What the test knows of a part, from the actions and its own events.
struct PartRecord {
  explicit PartRecord(std::string of = {}, double w = 0, bool second_step = false)
      : query(std::move(of)), weight(w), in_second_step(second_step) {}
  std::string query;
  double weight = 0;
  bool in_second_step = false, done = false;
  std::string in_flight_at;  // server of the attempt in flight, or empty
  int attempts = 0;
  bool may_have_run = false;
  Millis first_possible_run = 0;
};

// What the test knows of a query.
struct QueryRecord {
  int query_class = 0;
  Millis give_up_at = 0;
  int answers = 0;
  bool ended = false, first_step_complete = true;
};

// An attempt in flight.
struct AttemptRecord {
  std::string part, server;
  int attempt;
  Millis sent, timeout;
};

// Feeds random events to one Coordinator and checks each of its actions.
class RandomScenario {
 public:
  RandomScenario(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)), random_(seed), driver_(settings_, seed) {
    check(driver_.last);
  }

  void run(int steps) {
    deliver_list(true);
    for (int i = 0; i < steps && !::testing::Test::HasFailure(); ++i) {
      driver_.now += 5;
      while (!timers_.empty() && *timers_.begin() <= driver_.now) {
        timers_.erase(timers_.begin());
        check(driver_.event(TimerFired{0}));
      }
      check_deadlines();
      end_overdue_attempts();
      switch (draw(12)) {
        case 0:
        case 1:
        case 2:
          submit_query();
          break;
        case 3:
          if (draw(10) == 0) deliver_list(draw(2) == 0);
          break;
        case 4:
          if (draw(20) == 0) restart_server();
          break;
        case 5:
          check(driver_.event(TimerFired{draw(100)}));
          break;
        case 6:
          deliver_invalid_events();
          break;
        default:
          end_random_attempt();
          break;
      }
    }
  }

  std::map<std::string, int> final_counts;
  int sends = 0;

 private:
  int draw(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }

  void submit_query() {
    QueryArrived q;
    q.query = "q" + std::to_string(next_++);
    q.query_class = draw(static_cast<int>(settings_.classes.size()));
    q.give_up_at = driver_.now + 300 + draw(1500);
    if (draw(2)) q.key = static_cast<std::uint64_t>(draw(20));
    int parts = 1 + draw(6);
    std::vector<double> weights;
    double sum = 0;
    for (int i = 0; i < parts; ++i) sum += weights.emplace_back(1 + draw(5));
    for (int i = 0; i < parts; ++i) {
      PartSpec p{q.query + "/" + std::to_string(i), draw(settings_.cells), weights[i] / sum, 1.0 + draw(150)};
      parts_[p.part] = PartRecord(q.query, p.weight);
      q.parts.push_back(p);
    }
    QueryRecord seen;
    seen.query_class = q.query_class;
    seen.give_up_at = q.give_up_at;
    queries_[q.query] = seen;
    open_.insert(q.query);
    accepted_.emplace_back(driver_.now, parts + 1);
    check(driver_.event(q));
  }

  void deliver_list(bool complete) {
    ServerList l;
    l.kind = complete  ? ServerList::Kind::complete
             : draw(4) ? ServerList::Kind::changes
                       : ServerList::Kind::failed;
    for (int i = 0; i < kServers && l.kind != ServerList::Kind::failed; ++i) {
      if (!complete && draw(3)) continue;
      ServerEntry e = entry(i);
      e.state = draw(6) == 0 ? ServerState::draining : ServerState::ready;
      if (e.state == ServerState::ready)
        unavailable_since_.erase(e.server);
      else
        unavailable_since_.insert({e.server, driver_.now});
      l.servers.push_back(e);
    }
    check(driver_.event(l));
  }

  ServerEntry entry(int i) {
    ServerEntry e = Driver::entry("s" + std::to_string(i));
    e.cell = i % settings_.cells;
    if (auto it = started_.find(e.server); it != started_.end()) e.started = it->second;
    return e;
  }

  void restart_server() {
    int i = draw(kServers);
    std::string server = "s" + std::to_string(i);
    started_[server] = std::max(0.001, driver_.now - draw(500));
    unavailable_since_.erase(server);
    restart_reported_at_[server] = driver_.now;
    check(driver_.event(ServerList{ServerList::Kind::changes, {entry(i)}}));
  }

  void end_overdue_attempts() {
    for (std::size_t i = 0; i < pending_.size();) {
      if (driver_.now < pending_[i].sent + pending_[i].timeout) {
        ++i;
        continue;
      }
      AttemptRecord p = pending_[i];
      pending_.erase(pending_.begin() + static_cast<long>(i));
      end_attempt(p, Outcome::timeout);
    }
  }

  void end_random_attempt() {
    if (pending_.empty()) return;
    std::size_t i = static_cast<std::size_t>(draw(static_cast<int>(pending_.size())));
    AttemptRecord p = pending_[i];
    pending_.erase(pending_.begin() + static_cast<long>(i));
    static const Outcome all[] = {Outcome::ok,   Outcome::ok,      Outcome::ok,    Outcome::ok,
                                  Outcome::full, Outcome::timeout, Outcome::error, Outcome::connect_failed,
                                  Outcome::reset};
    end_attempt(p, all[draw(9)]);
  }

  void end_attempt(const AttemptRecord& p, Outcome o) {
    PartRecord& part = parts_.at(p.part);
    part.in_flight_at.clear();
    bool never_ran = o == Outcome::full || o == Outcome::connect_failed || o == Outcome::unsent;
    if (!never_ran && !part.may_have_run) {
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
    if (draw(5) == 0) check(driver_.event(e));  // the same event twice
  }

  void check_deadlines() {
    for (auto it = open_.begin(); it != open_.end();) {
      const std::string id = *it++;
      QueryRecord& q = queries_.at(id);
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

  void deliver_invalid_events() {
    check(driver_.ended("q" + std::to_string(draw(next_ + 1)) + "/9", "s0", Outcome::ok));
    check(driver_.event(QueryWithdrawn{"never"}));
    Millis keep = driver_.now;
    driver_.now -= 1000;  // time moves back
    check(driver_.event(PeerMessage{1, "x"}));
    driver_.now = keep;
  }

  void check(const std::vector<Action> actions) {
    std::vector<std::string> to_cancel;
    for (const Action& a : actions) {
      if (const auto* s = std::get_if<SendPart>(&a)) check_send(*s);
      if (const auto* t = std::get_if<SetTimer>(&a)) timers_.insert(t->at);
      if (const auto* f = std::get_if<FailQuery>(&a)) record_final_action(f->query, "fail");
      if (const auto* r = std::get_if<RefuseQuery>(&a)) check_refusal(r->query);
      if (const auto* w = std::get_if<AnswerQuery>(&a)) check_answer(*w);
      if (const auto* c = std::get_if<CancelAttempt>(&a)) {
        ASSERT_TRUE(settings_.may_cancel);
        to_cancel.push_back(c->part);
      }
    }
    for (const std::string& part : to_cancel)
      for (std::size_t i = 0; i < pending_.size(); ++i)
        if (pending_[i].part == part) {
          AttemptRecord p = pending_[i];
          pending_.erase(pending_.begin() + static_cast<long>(i));
          end_attempt(p, draw(4) ? Outcome::cancelled : Outcome::ok);
          break;
        }
  }

  void check_send(const SendPart& s) {
    ++sends;
    PartRecord& p = parts_.at(s.part);
    const QueryRecord& q = queries_.at(p.query);
    const ClassSettings& c = settings_.classes[q.query_class];
    ASSERT_FALSE(q.ended) << "sent after the final answer";
    ASSERT_FALSE(p.done);
    ASSERT_TRUE(p.in_flight_at.empty()) << "two attempts at once";
    ASSERT_LT(p.attempts, settings_.max_attempts);
    ASSERT_GT(s.timeout, 0);
    if (p.may_have_run) {
      ASSERT_NE(c.idempotency, Idempotency::unsafe);
      if (c.idempotency == Idempotency::keyed) {
        ASSERT_LE(driver_.now, p.first_possible_run + c.idempotency_window);
      }
    }
    if (auto it = unavailable_since_.find(s.server); it != unavailable_since_.end()) {
      ASSERT_LE(driver_.now, it->second + settings_.drain_grace);
    }
    if (p.attempts > 0 && settings_.budget) {
      while (!retries_.empty() && retries_.front() < driver_.now - settings_.budget_window)
        retries_.pop_front();
      double accepted = 0;
      for (auto t = accepted_.rbegin();
           t != accepted_.rend() && t->first >= driver_.now - settings_.budget_window; ++t)
        accepted += t->second;
      retries_.push_back(driver_.now);
      ASSERT_LE(double(retries_.size()), settings_.budget_free + settings_.budget_share * accepted);
    }
    if (auto it = started_.find(s.server); it != started_.end() &&
                                           restart_reported_at_.at(s.server) <= driver_.now &&
                                           driver_.now - it->second < settings_.warm_up_time) {
      auto& sent = sent_while_warming_up_[s.server];
      sent.push_back(driver_.now);
      while (sent.front() < driver_.now - settings_.overload_time) sent.pop_front();
      double share = settings_.warm_up_initial_share + (1 - settings_.warm_up_initial_share) *
                                                           (driver_.now - it->second) /
                                                           settings_.warm_up_time;
      // Cost estimates are between 1 and 150 and a part counts as at least their mean, which stays above 40.
      ASSERT_LE(40.0 * double(sent.size()),
                settings_.overload_multiple * share * settings_.overload_time / settings_.instances);
    }
    p.in_flight_at = s.server;
    pending_.push_back({s.part, s.server, p.attempts++, driver_.now, s.timeout});
  }

  void record_final_action(const std::string& id, const std::string& kind) {
    QueryRecord& q = queries_.at(id);
    ASSERT_FALSE(q.ended) << "a second final answer";
    q.ended = true;
    ++final_counts[kind];
  }

  void check_refusal(const std::string& id) {
    for (auto it = parts_.lower_bound(id + "/"); it != parts_.end() && it->second.query == id; ++it)
      if (const PartRecord& p = it->second;
          settings_.classes[queries_.at(id).query_class].idempotency == Idempotency::unsafe) {
        ASSERT_FALSE(p.may_have_run || !p.in_flight_at.empty()) << "rejected a query that may have run";
      }
    record_final_action(id, "refuse");
  }

  void check_answer(const AnswerQuery& a) {
    QueryRecord& q = queries_.at(a.query);
    const ClassSettings& c = settings_.classes[q.query_class];
    bool second = q.answers > 0;
    double received = 0;
    for (auto it = parts_.lower_bound(a.query + "/"); it != parts_.end() && it->second.query == a.query; ++it)
      if (const PartRecord& p = it->second; p.in_second_step == second && p.done) received += p.weight;
    double need = second ? 1.0 : c.complete_share;
    ASSERT_GE(received + 1e-4, std::min(c.min_share, need));
    if (a.complete) {
      ASSERT_GE(received + 1e-4, need);
      ASSERT_TRUE(q.first_step_complete);
    }
    if (!second) q.first_step_complete = a.complete;
    ++q.answers;
    if (!second && c.second_step_parts > 0) {
      PartSpec p{a.query + "/second", draw(settings_.cells), 1.0, 20.0};
      parts_[p.part] = PartRecord(a.query, 1.0, true);
      steps_.push_back({a.query, {p}});
      accepted_.emplace_back(driver_.now, 1);
      PartsAdded added = steps_.back();
      check(driver_.event(added));
      return;
    }
    record_final_action(a.query, "answer");
  }

  static constexpr int kServers = 8;
  Settings settings_;
  std::mt19937_64 random_;
  Driver driver_;
  int next_ = 0;
  std::map<std::string, QueryRecord> queries_;
  std::map<std::string, PartRecord> parts_;
  std::set<std::string> open_;
  std::vector<AttemptRecord> pending_;
  std::multiset<Millis> timers_;
  std::map<std::string, Millis> unavailable_since_, started_, restart_reported_at_;
  std::map<std::string, std::deque<Millis>> sent_while_warming_up_;
  std::deque<std::pair<Millis, int>> accepted_;
  std::deque<Millis> retries_;
  std::vector<PartsAdded> steps_;
};

Settings settings_of_kind(int kind) {
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

TEST(RulesUnderRandomEvents, HoldForAllKindsOfSettings) {
  std::map<std::string, int> final_counts;
  int sends = 0;
  for (int kind = 0; kind < 4; ++kind)
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      SCOPED_TRACE("kind " + std::to_string(kind) + ", seed " + std::to_string(seed));
      RandomScenario d(settings_of_kind(kind), seed);
      d.run(2000);
      for (const auto& [what, n] : d.final_counts) final_counts[what] += n;
      sends += d.sends;
      if (HasFailure()) return;
    }
  // Makes sure that the sequences reached every kind of final action.
  EXPECT_GT(final_counts["answer"], 1000);
  EXPECT_GT(final_counts["fail"], 100);
  EXPECT_GT(final_counts["refuse"], 100);
  EXPECT_GT(sends, 10000);
}

}  // namespace
}  // namespace winchhall::testing
