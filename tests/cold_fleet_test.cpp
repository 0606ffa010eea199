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

#include "pewterrill/coordinator.hpp"

using namespace pewterrill;

namespace {

constexpr Millis kWork = 20;  // of each part

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
  ServerList l{ServerList::Kind::complete, {}, true};
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

TEST_CASE("300 instances together send a cold server no more than the page's N + 3 x root of N + 3") {
  constexpr int kBrokers = 300, kParts = 6;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<Coordinator> all;
    Settings s = site(kBrokers);
    for (int i = 0; i < kBrokers; ++i) {
      all.emplace_back(s, seed * 1000 + static_cast<std::uint64_t>(i), 0);
      all.back().start();
      all.back().handle(0, list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}}));
    }
    const Millis started = 5000;
    struct Out {
      int broker;
      SendPart part;
      Millis sent;
    };
    std::multimap<Millis, Out> out;
    std::map<std::pair<int, std::string>, int> tried;
    std::vector<Millis> cold;
    int number = 0;
    auto carry = [&](int broker, Millis now, const std::vector<Action>& actions) {
      for (const Action& a : actions)
        if (const auto* send = std::get_if<SendPart>(&a)) {
          if (send->server == "cold") cold.push_back(now);
          out.emplace(now + 30, Out{broker, *send, now});
        }
    };
    for (Millis now = 10; now < started + s.cold_time + 1000; now += 10) {
      if (now == started)
        for (int i = 0; i < kBrokers; ++i)
          carry(i, now,
                all[static_cast<std::size_t>(i)].handle(
                    now, list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}, {"cold", started}})));
      while (!out.empty() && out.begin()->first <= now) {
        Out o = out.begin()->second;
        out.erase(out.begin());
        int attempt = tried[{o.broker, o.part.part}]++;
        carry(
            o.broker, now,
            all[static_cast<std::size_t>(o.broker)].handle(
                now, AttemptEnded{o.part.part, attempt, o.part.server, Outcome::ok, now - o.sent, true, {}}));
      }
      // 400 queries a second over all of them: each sees little.
      for (int i = 0; i < 4; ++i) {
        int broker = static_cast<int>(random() % kBrokers);
        carry(broker, now, all[static_cast<std::size_t>(broker)].handle(now, query(++number, now, kParts)));
      }
      for (int i = 0; i < kBrokers; ++i)
        carry(i, now, all[static_cast<std::size_t>(i)].handle(now, TimerFired{0}));
    }
    REQUIRE(cold.size() > 100);  // it is used while it warms up
    std::size_t from = 0;
    double most = 0;  // of the allowance, in any window
    for (std::size_t to = 0; to < cold.size(); ++to) {
      while (cold[to] - cold[from] > s.fall_time) ++from;
      double age = (cold[from] - started) / s.cold_time;
      if (cold[to] - started >= s.cold_time)
        break;  // warm by now, whatever it was sent at the window's begin
      double n = s.fall_multiple * (s.cold_share + (1 - s.cold_share) * age) * s.fall_time / kWork;
      most = std::max(most, static_cast<double>(to - from + 1) / (n + 3 * std::sqrt(n) + 3));
    }
    INFO("seed " << seed);
    CHECK(most <= 1);
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
