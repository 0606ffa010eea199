// Decisions about operations, without I/O: lifecycle phases, lines of the admin port, and settings that
// change while queries are open.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

#include "aggregator/admin/admin_protocol.hpp"
#include "aggregator/app/lifecycle.hpp"
#include "aggregator/app/settings_check.hpp"
#include "aggregator/coordination/class_registry.hpp"
#include "aggregator/coordination/settings_transition.hpp"

using namespace winchhall;
using app::Lifecycle;
using app::LifecycleEvent;
using app::Phase;
using winchhall::ClassSettings;
using winchhall::Idempotency;
using winchhall::Settings;

TEST_CASE("the lifecycle matches a reference model for random sequences of events") {
  CHECK(rc::check([] {
    Lifecycle lifecycle;
    bool endpoints_available = false, draining = false, predecessor = false, successor = false,
         leaving = false, stopped = false;
    double now = 0, since = 0;
    auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, app::kLifecycleEvents), rc::gen::inRange(0, 1500)));
    for (auto [number, passed] : events) {
      now += passed;
      LifecycleEvent event = static_cast<LifecycleEvent>(number);
      Lifecycle::Result r = lifecycle.handle(event, now);
      bool rejected = event == LifecycleEvent::resume && leaving;
      if (event == LifecycleEvent::drained && leaving) stopped = true;
      if ((event == LifecycleEvent::drain || event == LifecycleEvent::terminate) && !leaving && !draining)
        since = now;
      if (event == LifecycleEvent::drain && !leaving) draining = true;
      if (event == LifecycleEvent::terminate) leaving = true;
      if (event == LifecycleEvent::resume && !leaving) draining = false;
      if (!leaving) {
        endpoints_available |= event == LifecycleEvent::endpoints_available;
        predecessor |= event == LifecycleEvent::predecessor;
        successor |= event == LifecycleEvent::successor;
        if (event == LifecycleEvent::no_siblings) predecessor = successor = false;
      }
      RC_ASSERT(r.accepted == !rejected);
      RC_ASSERT(std::string(r.message) != "");
      RC_ASSERT(lifecycle.is_ready() == (endpoints_available && !draining && !leaving));
      RC_ASSERT(lifecycle.is_draining() == (draining || leaving));
      RC_ASSERT(lifecycle.closes_idle_connections(now) == ((draining || leaving) && now - since >= 500));
      RC_ASSERT(lifecycle.closes_listener(now) == (leaving && now - since >= 1000));
      RC_ASSERT((lifecycle.phase() == Phase::Stopped) == stopped);
      RC_ASSERT((lifecycle.phase() == Phase::HandingOver) ==
                (endpoints_available && successor && !draining && !leaving));
      RC_ASSERT((lifecycle.phase() == Phase::TakingOver) ==
                (!endpoints_available && predecessor && !draining && !leaving));
    }
  }));
}

TEST_CASE("the admin port accepts one command on one line and rejects everything else with a reason") {
  using admin::Command;
  using admin::parse_line;
  CHECK(parse_line("ready\n", false).command == Command::ready);
  CHECK(parse_line(" drain \r\n", false).command == Command::drain);
  CHECK(parse_line("resume\n", true).command == Command::resume);
  CHECK_FALSE(parse_line("read", false).complete());
  CHECK_FALSE(parse_line("", false).complete());
  for (const std::string& bad : {std::string("\n"), std::string("Ready\n"), std::string("ready drain\n"),
                                 std::string("ready\ndrain\n"), std::string("re\0dy\n", 6),
                                 std::string(257, 'x'), std::string(300, 'x') + "\n"}) {
    INFO(bad);
    CHECK_FALSE(parse_line(bad, false).command);
    CHECK(parse_line(bad, false).complete());
  }
  CHECK(parse_line("ready", true).why == "no whole line");
  CHECK(admin::Reply{true, "two\nlines"}.line() == "ACK two lines\n");
  CHECK(admin::parse_reply("NAK leaving for good\r\n")->message == "leaving for good");
  CHECK(admin::parse_reply("ACK\n")->accepted);
  for (const char* none : {"", "ACK", "ACKNOWLEDGED\n", "YES\n"}) CHECK_FALSE(admin::parse_reply(none));
}

namespace {

ClassSettings make_class(const std::string& name, double latency_target = 1000,
                         Idempotency idempotency = Idempotency::safe) {
  return {.name = name,
          .idempotency = idempotency,
          .latency_target = latency_target,
          .deadline = 2 * latency_target};
}

}  // namespace

TEST_CASE(
    "a class that changes while queries of it are open gets a new index, and the queries keep the old one") {
  coordination::ClassRegistry registry({make_class("a"), make_class("b")});
  registry.opened(0);
  auto c = registry.change({make_class("a", 500), make_class("b"), make_class("c")});
  REQUIRE(c.classes.size() == 4);
  CHECK(c.classes[0].name.empty());
  CHECK(c.classes[0].latency_target == 1000);
  CHECK(c.classes[1] == make_class("b"));
  CHECK(c.classes[2] == make_class("a", 500));
  CHECK(c.classes[3] == make_class("c"));
  CHECK(c.from == std::vector<int>{0, 1, 0, -1});  // what was learned about a follows its name
  CHECK(registry.name(0) == "a");
  registry.closed(0);
  c = registry.change({make_class("b"), make_class("d")});
  CHECK(c.classes[0] == make_class("d"));  // no open query refers to that index any more
  CHECK(c.from[0] == -1);
  CHECK(c.classes[2].name.empty());
}

TEST_CASE("after any sequence of settings open queries keep their rules and the registry stays bounded") {
  CHECK(rc::check([] {
    coordination::ClassRegistry registry({make_class("a"), make_class("b"), make_class("c")});
    std::vector<ClassSettings> now = {make_class("a"), make_class("b"), make_class("c")};
    std::map<int, std::pair<ClassSettings, int>> open;  // by index: its rules and the number of open queries
    int opened = 0;
    for (int step = 0; step < 30; ++step) {
      int what = *rc::gen::inRange(0, 3);
      if (what == 0) {
        int index = *rc::gen::inRange(0, static_cast<int>(now.size()));
        if (now[static_cast<std::size_t>(index)].name.empty()) continue;
        registry.opened(index);
        auto [it, fresh] = open.try_emplace(index, now[static_cast<std::size_t>(index)], 0);
        RC_ASSERT(it->second.first.latency_target == now[static_cast<std::size_t>(index)].latency_target);
        ++it->second.second;
        ++opened;
      } else if (what == 1 && !open.empty()) {
        auto it = std::next(open.begin(), *rc::gen::inRange(0, static_cast<int>(open.size())));
        registry.closed(it->first);
        if (--it->second.second == 0) open.erase(it);
      } else {
        std::vector<ClassSettings> fresh;
        for (const char* name : {"a", "b", "c", "d"})
          if (*rc::gen::arbitrary<bool>()) fresh.push_back(make_class(name, *rc::gen::inRange(1, 4) * 100));
        if (fresh.empty()) continue;
        auto change = registry.change(fresh);
        now = change.classes;
        for (const ClassSettings& f : fresh) RC_ASSERT(std::count(now.begin(), now.end(), f) == 1);
        for (const auto& [index, rules] : open) {
          RC_ASSERT(now[static_cast<std::size_t>(index)].latency_target == rules.first.latency_target);
          RC_ASSERT(change.from[static_cast<std::size_t>(index)] >= 0);
          RC_ASSERT(registry.name(index) == rules.first.name);
        }
        RC_ASSERT(now.size() <= 3 + 4 + open.size() + 4);
      }
    }
  }));
}

TEST_CASE("during a transition nothing is done that the old or the new settings forbid") {
  Settings old, fresh;
  old.classes = {make_class("a", 1000, Idempotency::unsafe), make_class("gone"), make_class("c")};
  old.max_attempts = 3;
  fresh.classes = {make_class("a", 800, Idempotency::safe), make_class("c"), make_class("new")};
  fresh.classes[1].complete_share = fresh.classes[1].min_share = 0.5;
  fresh.max_attempts = 2;
  coordination::SettingsTransition transition(old);
  const Settings& both = transition.begin(fresh, 100);
  REQUIRE(both.classes.size() == 4);
  CHECK(both.classes[0].idempotency == Idempotency::unsafe);
  CHECK(both.classes[0].latency_target == 800);
  CHECK(both.classes[1].complete_share == 1);
  CHECK(both.classes[2].name == "new");
  CHECK(both.classes[3].name == "gone");
  CHECK(both.max_attempts == 2);
  CHECK_FALSE(transition.complete_if_due(1300));  // clients may have used the old settings until 1.2 s
  auto settled = transition.complete_if_due(1700);
  REQUIRE(settled);
  CHECK(*settled == fresh);
  CHECK_FALSE(transition.complete_if_due(1e9));
}

TEST_CASE(
    "a second change during a transition is safe under all three settings, and the last ones take effect") {
  Settings a, b, c;
  a.classes = {make_class("x")};
  b.classes = {make_class("x", 1000, Idempotency::unsafe), make_class("y")};
  c.classes = {make_class("x"), make_class("z")};
  coordination::SettingsTransition transition(a);
  transition.begin(b, 0);
  const Settings& both = transition.begin(c, 1000);
  CHECK(both.classes.size() == 3);
  CHECK(both.classes[0].idempotency == Idempotency::unsafe);
  CHECK_FALSE(transition.complete_if_due(1700));
  CHECK(*transition.complete_if_due(2600) == c);
}

TEST_CASE("a configuration that is truncated at any byte, lacks a key or has an invalid value is rejected") {
  const std::string sound = R"({"name":"n0","listen":"a","discovery":"b","limits":{"sockets":64},
"settings":{"services":[{"name":"a","objective":100,"hard_limit":200,"semantics":"free"},
{"name":"b","objective":100,"hard_limit":200,"semantics":"free"}],
"extra":{"need_by_class":[1,1],"warm_keys":false},"permissions":{"max_attempts":3},"rules":{"cold":1}}})";
  CHECK(app::incompatible_setting(sound, sound) == "");
  for (std::size_t cut = 0; cut < sound.size(); ++cut)
    CHECK_FALSE(app::incompatible_setting(sound, sound.substr(0, cut)).empty());
  auto with = [&](const std::string& piece, const std::string& other) {
    std::string text = sound;
    std::size_t at = text.find(piece);
    REQUIRE(at != std::string::npos);
    return app::incompatible_setting(sound, text.replace(at, piece.size(), other));
  };
  CHECK(with(",\"warm_keys\":false", "") == "");  // the protocol lets it be absent
  CHECK(with("\"objective\":100,", "") == "settings.services[0].objective is missing: expected a number");
  CHECK(with("\"max_attempts\":3", "") == "settings.permissions.max_attempts is missing: expected a number");
  CHECK(with("\"limits\":{\"sockets\":64},", "") == "limits is missing: expected an object");
  CHECK(with("\"hard_limit\":200", "\"hard_limit\":0") ==
        "settings.services[0].hard_limit is 0: expected a number above 0");
  CHECK(with("\"max_attempts\":3", "\"max_attempts\":-1") ==
        "settings.permissions.max_attempts is -1: expected a number above 0");
  CHECK(with("\"max_attempts\":3", "\"max_attempts\":\"3\"") ==
        "settings.permissions.max_attempts is \"3\": expected a number");
  CHECK(with("[1,1]", "[1]") ==
        "settings.extra.need_by_class has 1 values: expected one for each of 2 classes");
  CHECK(with("\"name\":\"b\"", "\"name\":\"a\"").find("another class has the same name") !=
        std::string::npos);
  CHECK(with("\"rules\":{\"cold\":1}", "\"rules\":null").find("rules is null") != std::string::npos);
  CHECK(app::incompatible_setting(sound, "").find("line 1: the file is empty") == 0);
  CHECK(app::incompatible_setting(sound, sound.substr(0, 150)).find("line 2") == 0);
}
