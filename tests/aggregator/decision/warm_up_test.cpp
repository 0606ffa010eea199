// Slow start: what independent instances (up to 300) together send to a warming server. Also what an instance
// sends while its endpoint list is stale, and open queries when settings change.
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

constexpr Millis kWork = 20;  // default cost estimate of a part

Settings warm_up_settings(int instances) {
  Settings s;
  s.classes.push_back({.name = "a", .latency_target = 3000, .deadline = 8000, .late_value = 0.3});
  s.instances = instances;
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

// Instances that do not communicate, and a server that restarts while they run. Traffic is spread unevenly,
// parts fail and are retried, late ones are hedged, and each second a tenth of the instances restarts and no
// longer knows what it sent before.
struct Fleet {
  struct InFlight {
    int instance;
    SendPart part;
    Millis sent;
    int attempt;
  };
  Settings settings;
  std::mt19937_64 random;
  std::vector<Coordinator> coordinators;
  std::discrete_distribution<int> traffic;
  std::multimap<Millis, InFlight> in_flight;
  std::map<std::pair<int, std::string>, int> attempt_counts;
  std::vector<Millis> sent_to_warming;
  Millis started = 5000;
  std::uint64_t seed;
  int number = 0, parts;

  Fleet(int instances, Millis work, std::uint64_t s)
      : settings(warm_up_settings(instances)), random(s), seed(s * 100000) {
    settings.may_hedge = true;
    parts = static_cast<int>(120 / work) + 1;
    std::vector<double> shares;
    for (int i = 0; i < instances; ++i) shares.push_back(1.0 / (1 + i % 10));  // some see ten times as much
    traffic = std::discrete_distribution<int>(shares.begin(), shares.end());
    for (int i = 0; i < instances; ++i) {
      coordinators.emplace_back(settings, ++seed, 0);
      coordinators.back().start();
      coordinators.back().handle(0, list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}}));
    }
  }
  ServerList list_with_warming() const {
    return list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}, {"warming", started}});
  }
  void execute(int instance, Millis now, const std::vector<Action>& actions) {
    for (const Action& a : actions)
      if (const auto* send = std::get_if<SendPart>(&a)) {
        if (send->server == "warming") sent_to_warming.push_back(now);
        // One in twenty is late.
        Millis took = std::uniform_int_distribution<>(1, 20)(random) == 1 ? 400 : 30;
        in_flight.emplace(now + took,
                          InFlight{instance, *send, now, attempt_counts[{instance, send->part}]++});
      }
  }
  void deliver(int instance, Millis now, const Event& e) {
    execute(instance, now, coordinators[static_cast<std::size_t>(instance)].handle(now, e));
  }
  void restart_instance(int instance, Millis now) {
    std::erase_if(in_flight, [&](const auto& o) { return o.second.instance == instance; });
    coordinators[static_cast<std::size_t>(instance)] = Coordinator(settings, ++seed, now);
    execute(instance, now, coordinators[static_cast<std::size_t>(instance)].start());
    deliver(instance, now, list_with_warming());
  }
  // Submits `per_second` queries over all instances; 1.5 times as many for 3 s of the warm-up.
  void run(double per_second, Millis work) {
    double due = 0;
    const int instances = settings.instances;
    for (Millis now = 10; now < started + settings.warm_up_time + 1000; now += 10) {
      if (now == started)
        for (int i = 0; i < instances; ++i) deliver(i, now, list_with_warming());
      while (!in_flight.empty() && in_flight.begin()->first <= now) {
        InFlight o = in_flight.begin()->second;
        in_flight.erase(in_flight.begin());
        bool fails = std::uniform_int_distribution<>(1, 10)(random) == 1;
        deliver(o.instance, now,
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
        deliver(traffic(random), now, q);
      }
      for (int i = 0; i < instances; ++i) deliver(i, now, TimerFired{0});
      if (now > started && static_cast<int>(now) % 1000 == 0)
        for (int i = 0; i < instances; ++i)
          if (std::uniform_int_distribution<>(1, 10)(random) == 1) restart_instance(i, now);
    }
  }
  // Maximum over all windows of the parts sent, as a share of the operators' limit.
  double worst_share(Millis work) const {
    double worst = 0;
    std::size_t from = 0;
    for (std::size_t to = 0;
         to < sent_to_warming.size() && sent_to_warming[to] - started < settings.warm_up_time; ++to) {
      while (sent_to_warming[to] - sent_to_warming[from] > settings.overload_time) ++from;
      double age = (sent_to_warming[from] - started) / settings.warm_up_time;
      double n = settings.overload_multiple *
                 (settings.warm_up_initial_share + (1 - settings.warm_up_initial_share) * age) *
                 settings.overload_time / work;
      worst = std::max(worst, static_cast<double>(to - from + 1) / (n + 2 * std::sqrt(n) + 2));
    }
    return worst;
  }
};

TEST_CASE("3 to 300 instances together send a warming server at most N + 2 * sqrt(N) + 2 parts") {
  for (int instances : {3, 20, 30, 300})
    for (Millis work : {20.0, 60.0})
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Fleet fleet(instances, work, seed);
        fleet.run(400, work);
        INFO("instances " << instances << " work " << work << " seed " << seed);
        CHECK(fleet.sent_to_warming.size() > 100);  // it is used while it warms up
        CHECK(fleet.worst_share(work) <= 1);
      }
}

// Instances that share servers of `kCores` cores and know neither the number of cores nor the cost of a part.
struct UnhintedFleet {
  static constexpr int kInstances = 3;
  static constexpr double kCores = 16;
  static constexpr Millis kPartWork = 125, kPartsPerSecond = 500;
  static constexpr Millis kRestartedAt = 5000, kLength = 12000;

  struct Answer {
    int instance;
    std::string part, server;
  };
  Settings settings = warm_up_settings(kInstances);
  std::vector<Coordinator> instances;
  std::multimap<Millis, Answer> answers;
  std::vector<Millis> sends;
  int parts = 0;

  explicit UnhintedFleet(std::uint64_t seed) {
    for (int i = 0; i < kInstances; ++i) {
      instances.emplace_back(settings, seed * 100 + static_cast<std::uint64_t>(i), 0);
      instances.back().start();
      instances.back().handle(
          0, list({{"warm-1", std::nullopt}, {"warm-2", std::nullopt}, {"warm-3", std::nullopt}}));
    }
  }
  double warming_capacity(Millis now) const {  // ms of work per ms
    double age = std::min(1.0, (now - kRestartedAt) / settings.warm_up_time);
    return kCores * (settings.warm_up_initial_share + (1 - settings.warm_up_initial_share) * age);
  }
  void execute(int instance, Millis now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      const auto* send = std::get_if<SendPart>(&action);
      if (!send) continue;
      bool is_warming = send->server == "warming";
      if (is_warming) sends.push_back(now);
      answers.emplace(now + kPartWork * (is_warming ? kCores / warming_capacity(now) : 1),
                      Answer{instance, send->part, send->server});
    }
  }
  void deliver(int instance, Millis now, const Event& e) {
    execute(instance, now, instances[static_cast<std::size_t>(instance)].handle(now, e));
  }
  void submit_query(Millis now) {
    QueryArrived q = query(++parts, now, 1);
    q.parts[0].hint.reset();
    // Two of five parts have no other replica.
    q.parts[0].holders = parts % 5 < 2 ? std::vector<std::string>{"warming"}
                                       : std::vector<std::string>{"warm-1", "warm-2", "warm-3"};
    deliver(parts % kInstances, now, q);
  }
  // No instance gets an event from `stops` to `continues`; events of that time are delivered afterwards.
  void run(Millis stops, Millis continues) {
    double due = 0;
    bool announced = false;
    for (Millis now = 10; now < kLength; now += 10) {
      due += kPartsPerSecond / 100;
      if (now > stops && now < continues) continue;
      for (; !announced && now >= kRestartedAt; announced = true)
        for (int i = 0; i < kInstances; ++i)
          deliver(i, now,
                  ServerList{ServerList::Kind::changes, {{.server = "warming", .started = kRestartedAt}}});
      for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
        Answer a = answers.begin()->second;
        deliver(a.instance, now, AttemptEnded{a.part, 0, a.server, Outcome::ok, kPartWork, true, {}});
      }
      for (; due >= 1; --due) submit_query(now);
      for (int i = 0; i < kInstances; ++i) deliver(i, now, TimerFired{0});
    }
  }
  // Maximum work sent to the warming server within `overload_time`, as a multiple of its capacity in that
  // time.
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

TEST_CASE("parts without cost estimates: a warming server gets its share of what warm servers complete") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (Millis stop : {0.0, 400.0, 900.0}) {
      UnhintedFleet fleet(seed);
      fleet.run(UnhintedFleet::kRestartedAt + 200, UnhintedFleet::kRestartedAt + 200 + stop);
      INFO("seed " << seed << " stop " << stop << " sent " << fleet.sends.size());
      CHECK(fleet.sends.size() > 100);  // it is used while it warms up
      CHECK(fleet.worst_multiple() <= fleet.settings.overload_multiple);
    }
}

TEST_CASE("parts without cost estimates are sent where all servers are warming up") {
  Settings s = warm_up_settings(3);
  Coordinator coordinator(s, 3, 0);
  coordinator.start();
  coordinator.handle(0, list({{"a", 0}, {"b", 0}}));
  int sent = 0;
  for (int number = 1; number <= 20; ++number) {
    QueryArrived q = query(number, 2000, 1);
    q.parts[0].hint.reset();
    for (const Action& a : coordinator.handle(2000, q)) sent += std::holds_alternative<SendPart>(a);
  }
  CHECK(sent > 0);
  CHECK(sent < 20);  // 20 parts of unknown work exceed the allowance of one core that is warming up
}

TEST_CASE("unanswered parts count as sent, since a warming server may read all of them at once") {
  Settings s = warm_up_settings(1);
  Coordinator coordinator(s, 3, 0);
  coordinator.start();
  coordinator.handle(0, list({{"warming", 0}}));
  double sent = 0;
  for (int number = 1; number <= 400; ++number) {
    Millis now = 10 * number;
    for (const Action& a : coordinator.handle(now, query(number, now, 1)))
      sent += std::holds_alternative<SendPart>(a) ? kWork : 0;
    double share = s.warm_up_initial_share + (1 - s.warm_up_initial_share) * now / s.warm_up_time;
    REQUIRE(sent <= s.overload_multiple * share * s.overload_time);
  }
  CHECK(sent > 0);
}

TEST_CASE("with a stale list parts go only to a server that took a part within the drain grace") {
  Settings s = warm_up_settings(1);
  s.list_on_request = true;
  s.max_poll_interval = 10000;
  Coordinator coordinator(s, 3, 0);
  coordinator.start();
  coordinator.handle(0, ListKeepalive{});
  coordinator.handle(0, list({{"a", std::nullopt}}));
  int number = 0, attempt = 0;
  auto sends = [&](Millis now) {
    std::vector<std::string> parts;
    for (const Action& a : coordinator.handle(now, query(++number, now, 1)))
      if (const auto* send = std::get_if<SendPart>(&a)) parts.push_back(send->part);
    return parts;
  };
  auto took = [&](const std::string& part, Millis now) {
    coordinator.handle(now, AttemptEnded{part, attempt, "a", Outcome::ok, 10, true, {}});
  };
  auto first = sends(7000);  // the watch is silent since 0, the list counts as current until 6,000
  REQUIRE(first.size() == 1);
  took(first[0], 7010);
  auto second = sends(8500);  // stale; it took a part at 7,000, so it was not draining then
  REQUIRE(second.size() == 1);
  took(second[0], 8510);
  CHECK(sends(10450).empty());  // nothing since 8,500 shows that it is not draining
  coordinator.handle(10500, ListKeepalive{});
  coordinator.handle(10500, list({{"a", std::nullopt}}));
  CHECK(sends(10600).size() == 1);
}

TEST_CASE(
    "changed settings: open queries keep their class and attempt limit, servers keep their statistics") {
  Settings s = warm_up_settings(1);
  Coordinator coordinator(s, 3, 0);
  coordinator.start();
  coordinator.handle(0, list({{"a", std::nullopt}, {"b", std::nullopt}}));
  auto sent = [](const std::vector<Action>& actions) {
    int n = 0;
    for (const Action& a : actions) n += std::holds_alternative<SendPart>(a);
    return n;
  };
  CHECK(sent(coordinator.handle(10, query(1, 10, 1))) == 1);
  Settings other = s;
  other.max_attempts = 1;
  other.classes[0].name.clear();  // used by open queries only
  other.classes.push_back(
      {.name = "a", .idempotency = Idempotency::unsafe, .latency_target = 3000, .deadline = 8000});
  coordinator.handle(20, SettingsChanged{other, {0, 0}});
  auto ended = [&](const std::string& part, int attempt, Millis now) {
    return coordinator.handle(now, AttemptEnded{part, attempt, "a", Outcome::full, 5, false, {}});
  };
  CHECK(sent(ended("1.0", 0, 30)) == 1);  // it keeps its limit of three attempts
  QueryArrived q = query(2, 40, 1);
  q.query_class = 1;
  CHECK(sent(coordinator.handle(40, q)) == 1);
  CHECK(sent(ended("2.0", 0, 50)) == 0);  // its limit is one attempt
}
