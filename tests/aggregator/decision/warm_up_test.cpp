// What 300 instances that do not talk to each other send a cold server together, and what they send by an old
// list.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "winchhall/coordinator.hpp"

using namespace winchhall;

namespace {

constexpr Millis kWork = 20;  // of each part, where nothing else is said

Settings site(int brokers) {
  Settings s;
  s.classes.push_back({.name = "a", .latency_target = 3000, .deadline = 8000, .late_value = 0.3});
  s.instances = brokers;
  s.tick = 1;
  s.max_attempts = 3;
  s.may_cancel = true;
  s.drain_grace = 2000;
  s.warm_up_initial_share = 0.23;
  s.warm_up_time = 17000;
  s.overload_multiple = 4;
  s.overload_time = 1000;
  return s;
}

ServerList list(std::initializer_list<std::pair<const char*, std::optional<Millis>>> servers) {
  ServerList l{ServerList::Kind::complete, {}};
  for (const auto& [name, started] : servers) l.servers.push_back({.server = name, .started = started});
  return l;
}

QueryArrived query(int number, Millis now, int parts) {
  QueryArrived q{.query = std::to_string(number), .give_up_at = now + 8000};
  for (int p = 0; p < parts; ++p)
    q.parts.push_back({std::to_string(number) + "." + std::to_string(p), 0, 1.0 / parts, kWork, {}});
  return q;
}

}  // namespace

// A fleet that does not talk to itself, and a server that starts cold under its eyes. Traffic is shared
// unevenly, parts fail and are sent again, late ones get copies, and a tenth of the fleet is replaced each
// second, who know nothing of what was sent before.
struct Fleet {
  struct Out {
    int broker;
    SendPart part;
    Millis sent;
    int attempt;
  };
  Settings settings;
  std::mt19937_64 random;
  std::vector<Coordinator> all;
  std::discrete_distribution<int> traffic;
  std::multimap<Millis, Out> out;
  std::map<std::pair<int, std::string>, int> tried;
  std::vector<Millis> cold;
  Millis started = 5000;
  std::uint64_t seed;
  int number = 0, parts;

  Fleet(int brokers, Millis work, std::uint64_t s) : settings(site(brokers)), random(s), seed(s * 100000) {
    settings.may_hedge = true;
    parts = static_cast<int>(120 / work) + 1;
    std::vector<double> shares;
    for (int i = 0; i < brokers; ++i) shares.push_back(1.0 / (1 + i % 10));  // some see ten times as much
    traffic = std::discrete_distribution<int>(shares.begin(), shares.end());
    for (int i = 0; i < brokers; ++i) {
      all.emplace_back(settings, ++seed, 0);
      all.back().start();
      all.back().handle(0, list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}}));
    }
  }
  ServerList with_cold() const {
    return list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}, {"cold", started}});
  }
  void carry(int broker, Millis now, const std::vector<Action>& actions) {
    for (const Action& a : actions)
      if (const auto* send = std::get_if<SendPart>(&a)) {
        if (send->server == "cold") cold.push_back(now);
        // One in twenty is late.
        Millis took = std::uniform_int_distribution<>(1, 20)(random) == 1 ? 400 : 30;
        out.emplace(now + took, Out{broker, *send, now, tried[{broker, send->part}]++});
      }
  }
  void hand(int broker, Millis now, const Event& e) {
    carry(broker, now, all[static_cast<std::size_t>(broker)].handle(now, e));
  }
  void replace(int broker, Millis now) {
    std::erase_if(out, [&](const auto& o) { return o.second.broker == broker; });
    all[static_cast<std::size_t>(broker)] = Coordinator(settings, ++seed, now);
    carry(broker, now, all[static_cast<std::size_t>(broker)].start());
    hand(broker, now, with_cold());
  }
  // `per_second` queries over all of them, `burst` times as many for a while.
  void play(double per_second, Millis work) {
    double due = 0;
    const int brokers = settings.instances;
    for (Millis now = 10; now < started + settings.warm_up_time + 1000; now += 10) {
      if (now == started)
        for (int i = 0; i < brokers; ++i) hand(i, now, with_cold());
      while (!out.empty() && out.begin()->first <= now) {
        Out o = out.begin()->second;
        out.erase(out.begin());
        bool fails = std::uniform_int_distribution<>(1, 10)(random) == 1;
        hand(o.broker, now,
             AttemptEnded{o.part.part,
                          o.attempt,
                          o.part.server,
                          fails ? Outcome::full : Outcome::ok,
                          now - o.sent,
                          !fails,
                          {}});
      }
      bool burst = now > started + 6000 && now < started + 9000;
      for (due += per_second / 100 * (burst ? 1.5 : 1); due >= 1; --due) {
        QueryArrived q = query(++number, now, parts);
        for (PartSpec& p : q.parts) p.hint = work;
        hand(traffic(random), now, q);
      }
      for (int i = 0; i < brokers; ++i) hand(i, now, TimerFired{0});
      if (now > started && static_cast<int>(now) % 1000 == 0)
        for (int i = 0; i < brokers; ++i)
          if (std::uniform_int_distribution<>(1, 10)(random) == 1) replace(i, now);
    }
  }
  // The most that any window held, of what the page allows it.
  double most(Millis work) const {
    double worst = 0;
    std::size_t from = 0;
    for (std::size_t to = 0; to < cold.size() && cold[to] - started < settings.warm_up_time; ++to) {
      while (cold[to] - cold[from] > settings.overload_time) ++from;
      double age = (cold[from] - started) / settings.warm_up_time;
      double n = settings.overload_multiple *
                 (settings.warm_up_initial_share + (1 - settings.warm_up_initial_share) * age) *
                 settings.overload_time / work;
      worst = std::max(worst, static_cast<double>(to - from + 1) / (n + 2 * std::sqrt(n) + 2));
    }
    return worst;
  }
};

TEST_CASE("3 to 300 instances together send a cold server no more than the page's N + 2 x root of N + 2") {
  for (int brokers : {3, 20, 30, 300})
    for (Millis work : {20.0, 60.0})
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(brokers, work, seed);
        fleet.play(400, work);
        INFO("brokers " << brokers << " work " << work << " seed " << seed);
        CHECK(fleet.cold.size() > 100);  // it is used while it warms up
        CHECK(fleet.most(work) <= 1);
      }
}

// Instances that share servers of `kCores` cores and know neither these nor what a part costs.
struct UnhintedFleet {
  static constexpr int kBrokers = 3;
  static constexpr double kCores = 16;
  static constexpr Millis kPartWork = 125, kPartsPerSecond = 500;
  static constexpr Millis kRestartedAt = 5000, kLength = 12000;

  struct Answer {
    int broker;
    std::string part, server;
  };
  Settings settings = site(kBrokers);
  std::vector<Coordinator> brokers;
  std::multimap<Millis, Answer> answers;
  std::vector<Millis> sends;
  int parts = 0;

  explicit UnhintedFleet(std::uint64_t seed) {
    for (int i = 0; i < kBrokers; ++i) {
      brokers.emplace_back(settings, seed * 100 + static_cast<std::uint64_t>(i), 0);
      brokers.back().start();
      brokers.back().handle(
          0, list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}, {"warm-3", std::nullopt}}));
    }
  }
  double warming_capacity(Millis now) const {  // ms of work per ms
    double age = std::min(1.0, (now - kRestartedAt) / settings.warm_up_time);
    return kCores * (settings.warm_up_initial_share + (1 - settings.warm_up_initial_share) * age);
  }
  void carry(int broker, Millis now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      const auto* send = std::get_if<SendPart>(&action);
      if (!send) continue;
      bool is_warming = send->server == "warming";
      if (is_warming) sends.push_back(now);
      answers.emplace(now + kPartWork * (is_warming ? kCores / warming_capacity(now) : 1),
                      Answer{broker, send->part, send->server});
    }
  }
  void deliver(int broker, Millis now, const Event& e) {
    carry(broker, now, brokers[static_cast<std::size_t>(broker)].handle(now, e));
  }
  void submit_query(Millis now) {
    QueryArrived q = query(++parts, now, 1);
    q.parts[0].hint.reset();
    // Two of five parts have no other replica.
    q.parts[0].holders = parts % 5 < 2 ? std::vector<std::string>{"warming"}
                                       : std::vector<std::string>{"warm-1", "warm-2", "warm-3"};
    deliver(parts % kBrokers, now, q);
  }
  // Nothing is handed to any instance from `stops` to `continues`; what came meanwhile is handed then.
  void play(Millis stops, Millis continues) {
    double due = 0;
    bool announced = false;
    for (Millis now = 10; now < kLength; now += 10) {
      due += kPartsPerSecond / 100;
      if (now > stops && now < continues) continue;
      for (; !announced && now >= kRestartedAt; announced = true)
        for (int i = 0; i < kBrokers; ++i)
          deliver(i, now,
                  ServerList{ServerList::Kind::changes, {{.server = "warming", .started = kRestartedAt}}});
      for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
        Answer a = answers.begin()->second;
        deliver(a.broker, now, AttemptEnded{a.part, 0, a.server, Outcome::ok, kPartWork, true, {}});
      }
      for (; due >= 1; --due) submit_query(now);
      for (int i = 0; i < kBrokers; ++i) deliver(i, now, TimerFired{0});
    }
  }
  // The most work sent to the cold server within `overload_time`, as a multiple of what it can do in that time.
  double worst_multiple() const {
    double worst = 0;
    std::size_t from = 0;
    for (std::size_t to = 0; to < sends.size(); ++to) {
      while (sends[to] - sends[from] > settings.overload_time) ++from;
      worst = std::max(worst, static_cast<double>(to - from + 1) * kPartWork /
                                  (warming_capacity(sends[to]) * settings.overload_time));
    }
    return worst;
  }
};

TEST_CASE("parts without cost estimates: a cold server gets its share of what warm servers complete") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (Millis stop : {0.0, 400.0, 900.0}) {
      UnhintedFleet fleet(seed);
      fleet.play(UnhintedFleet::kRestartedAt + 200, UnhintedFleet::kRestartedAt + 200 + stop);
      INFO("seed " << seed << " stop " << stop << " sent " << fleet.sends.size());
      CHECK(fleet.sends.size() > 100);  // it is used while it warms up
      CHECK(fleet.worst_multiple() <= fleet.settings.overload_multiple);
    }
}

TEST_CASE("where all servers are cold, parts without cost estimates are still sent") {
  Settings s = site(3);
  Coordinator module(s, 3, 0);
  module.start();
  module.handle(0, list({{"a", 0}, {"b", 0}}));
  int sent = 0;
  for (int number = 1; number <= 20; ++number) {
    QueryArrived q = query(number, 2000, 1);
    q.parts[0].hint.reset();
    for (const Action& a : module.handle(2000, q)) sent += std::holds_alternative<SendPart>(a);
  }
  CHECK(sent > 0);
  CHECK(sent < 20);  // 20 parts of unknown work are too much for one core that is cold
}

TEST_CASE("what a cold server has not answered counts as sent: it may read all of it at once") {
  Settings s = site(1);
  Coordinator module(s, 3, 0);
  module.start();
  module.handle(0, list({{"warming", 0}}));
  double sent = 0;
  for (int number = 1; number <= 400; ++number) {
    Millis now = 10 * number;
    for (const Action& a : module.handle(now, query(number, now, 1)))
      sent += std::holds_alternative<SendPart>(a) ? kWork : 0;
    double share = s.warm_up_initial_share + (1 - s.warm_up_initial_share) * now / s.warm_up_time;
    REQUIRE(sent <= s.overload_multiple * share * s.overload_time);
  }
  CHECK(sent > 0);
}

TEST_CASE("by an overdue list nothing goes out but to a server within the grace of a part that it took") {
  Settings s = site(1);
  s.list_on_request = true;
  s.max_poll_interval = 10000;
  Coordinator module(s, 3, 0);
  module.start();
  module.handle(0, ListKeepalive{});
  module.handle(0, list({{"a", std::nullopt}}));
  int number = 0, attempt = 0;
  auto sends = [&](Millis now) {
    std::vector<std::string> parts;
    for (const Action& a : module.handle(now, query(++number, now, 1)))
      if (const auto* send = std::get_if<SendPart>(&a)) parts.push_back(send->part);
    return parts;
  };
  auto took = [&](const std::string& part, Millis now) {
    module.handle(now, AttemptEnded{part, attempt, "a", Outcome::ok, 10, true, {}});
  };
  auto first = sends(7000);  // the watch is silent since 0, its news counts as told at 6,000
  REQUIRE(first.size() == 1);
  took(first[0], 7010);
  auto second = sends(8500);  // overdue; it took a part at 7,000, so it did not drain then
  REQUIRE(second.size() == 1);
  took(second[0], 8510);
  CHECK(sends(10450).empty());  // nothing says since 8,500 that it does not
  module.handle(10500, ListKeepalive{});
  module.handle(10500, list({{"a", std::nullopt}}));
  CHECK(sends(10600).size() == 1);
}

TEST_CASE("other settings: open queries keep their class and attempts, what is known of servers stays") {
  Settings s = site(1);
  Coordinator module(s, 3, 0);
  module.start();
  module.handle(0, list({{"a", std::nullopt}, {"b", std::nullopt}}));
  auto sent = [](const std::vector<Action>& actions) {
    int n = 0;
    for (const Action& a : actions) n += std::holds_alternative<SendPart>(a);
    return n;
  };
  CHECK(sent(module.handle(10, query(1, 10, 1))) == 1);
  Settings other = s;
  other.max_attempts = 1;
  other.classes[0].name.clear();  // of open queries only
  other.classes.push_back(
      {.name = "a", .idempotency = Idempotency::unsafe, .latency_target = 3000, .deadline = 8000});
  module.handle(20, SettingsChanged{other, {0, 0}});
  auto ended = [&](const std::string& part, int attempt, Millis now) {
    return module.handle(now, AttemptEnded{part, attempt, "a", Outcome::full, 5, false, {}});
  };
  CHECK(sent(ended("1.0", 0, 30)) == 1);  // three attempts are its own
  QueryArrived q = query(2, 40, 1);
  q.query_class = 1;
  CHECK(sent(module.handle(40, q)) == 1);
  CHECK(sent(ended("2.0", 0, 50)) == 0);  // one is all that it has
}
