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
  s.classes.push_back({.name = "a", .aim = 3000, .deadline = 8000, .late_worth = 0.3});
  s.brokers = brokers;
  s.tick = 1;
  s.max_attempts = 3;
  s.may_cancel = true;
  s.drain_grace = 2000;
  s.cold_share = 0.23;
  s.cold_time = 17000;
  s.fall_multiple = 4;
  s.fall_time = 1000;
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
    const int brokers = settings.brokers;
    for (Millis now = 10; now < started + settings.cold_time + 1000; now += 10) {
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
    for (std::size_t to = 0; to < cold.size() && cold[to] - started < settings.cold_time; ++to) {
      while (cold[to] - cold[from] > settings.fall_time) ++from;
      double age = (cold[from] - started) / settings.cold_time;
      double n = settings.fall_multiple * (settings.cold_share + (1 - settings.cold_share) * age) *
                 settings.fall_time / work;
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

TEST_CASE("by an overdue list nothing goes out but to a server within the grace of a part that it took") {
  Settings s = site(1);
  s.list_on_request = true;
  s.must_ask_in = 10000;
  Coordinator module(s, 3, 0);
  module.start();
  module.handle(0, ListHeard{});
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
  module.handle(10500, ListHeard{});
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
  other.classes.push_back({.name = "a", .repeat = Repeat::unsafe, .aim = 3000, .deadline = 8000});
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
