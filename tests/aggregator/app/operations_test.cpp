// What operators order, as decisions without I/O: phases, the door's words, settings that change while
// queries run.
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

TEST_CASE("the phases do what a plain account of the orders says, whatever comes in whatever order") {
  CHECK(rc::check([] {
    Lifecycle life;
    bool endpoints_available = false, away = false, predecessor = false, successor = false, leaving = false,
         stopped = false;
    double now = 0, since = 0;
    auto orders = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, app::kLifecycleEvents), rc::gen::inRange(0, 1500)));
    for (auto [number, passed] : orders) {
      now += passed;
      LifecycleEvent order = static_cast<LifecycleEvent>(number);
      Lifecycle::Result r = life.give(order, now);
      bool refused = order == LifecycleEvent::resume && leaving;
      if (order == LifecycleEvent::drained && leaving) stopped = true;
      if ((order == LifecycleEvent::drain || order == LifecycleEvent::terminate) && !leaving && !away)
        since = now;
      if (order == LifecycleEvent::drain && !leaving) away = true;
      if (order == LifecycleEvent::terminate) leaving = true;
      if (order == LifecycleEvent::resume && !leaving) away = false;
      if (!leaving) {
        endpoints_available |= order == LifecycleEvent::endpoints_available;
        predecessor |= order == LifecycleEvent::predecessor;
        successor |= order == LifecycleEvent::successor;
        if (order == LifecycleEvent::alone) predecessor = successor = false;
      }
      RC_ASSERT(r.taken == !refused);
      RC_ASSERT(std::string(r.message) != "");
      RC_ASSERT(life.admits() == (endpoints_available && !away && !leaving));
      RC_ASSERT(life.drains() == (away || leaving));
      RC_ASSERT(life.closes_idle(now) == ((away || leaving) && now - since >= 500));
      RC_ASSERT(life.closes_listener(now) == (leaving && now - since >= 1000));
      RC_ASSERT((life.phase() == Phase::Stopped) == stopped);
      RC_ASSERT((life.phase() == Phase::HandingOver) ==
                (endpoints_available && successor && !away && !leaving));
      RC_ASSERT((life.phase() == Phase::TakingOver) ==
                (!endpoints_available && predecessor && !away && !leaving));
    }
  }));
}

TEST_CASE("the door takes a word on one line and says of all else what is wrong") {
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

ClassSettings of(const std::string& name, double latency_target = 1000,
                 Idempotency repeat = Idempotency::safe) {
  return {
      .name = name, .idempotency = repeat, .latency_target = latency_target, .deadline = 2 * latency_target};
}

}  // namespace

TEST_CASE(
    "a class that changes while queries of it are open gets an index of its own, and they keep theirs") {
  coordination::ClassRegistry table({of("a"), of("b")});
  table.opened(0);
  auto c = table.change({of("a", 500), of("b"), of("c")});
  REQUIRE(c.classes.size() == 4);
  CHECK(c.classes[0].name.empty());
  CHECK(c.classes[0].latency_target == 1000);
  CHECK(c.classes[1] == of("b"));
  CHECK(c.classes[2] == of("a", 500));
  CHECK(c.classes[3] == of("c"));
  CHECK(c.from == std::vector<int>{0, 1, 0, -1});  // what is known of a goes with its name
  CHECK(table.name(0) == "a");
  table.closed(0);
  c = table.change({of("b"), of("d")});
  CHECK(c.classes[0] == of("d"));  // nothing open refers to that index any more
  CHECK(c.from[0] == -1);
  CHECK(c.classes[2].name.empty());
}

TEST_CASE("whatever settings follow each other, open queries keep their rules and the table stays bounded") {
  CHECK(rc::check([] {
    coordination::ClassRegistry table({of("a"), of("b"), of("c")});
    std::vector<ClassSettings> now = {of("a"), of("b"), of("c")};
    std::map<int, std::pair<ClassSettings, int>> open;  // by index: its rules and how many
    int opened = 0;
    for (int step = 0; step < 30; ++step) {
      int what = *rc::gen::inRange(0, 3);
      if (what == 0) {
        int index = *rc::gen::inRange(0, static_cast<int>(now.size()));
        if (now[static_cast<std::size_t>(index)].name.empty()) continue;
        table.opened(index);
        auto [it, fresh] = open.try_emplace(index, now[static_cast<std::size_t>(index)], 0);
        RC_ASSERT(it->second.first.latency_target == now[static_cast<std::size_t>(index)].latency_target);
        ++it->second.second;
        ++opened;
      } else if (what == 1 && !open.empty()) {
        auto it = std::next(open.begin(), *rc::gen::inRange(0, static_cast<int>(open.size())));
        table.closed(it->first);
        if (--it->second.second == 0) open.erase(it);
      } else {
        std::vector<ClassSettings> fresh;
        for (const char* name : {"a", "b", "c", "d"})
          if (*rc::gen::arbitrary<bool>()) fresh.push_back(of(name, *rc::gen::inRange(1, 4) * 100));
        if (fresh.empty()) continue;
        auto change = table.change(fresh);
        now = change.classes;
        for (const ClassSettings& f : fresh) RC_ASSERT(std::count(now.begin(), now.end(), f) == 1);
        for (const auto& [index, rules] : open) {
          RC_ASSERT(now[static_cast<std::size_t>(index)].latency_target == rules.first.latency_target);
          RC_ASSERT(change.from[static_cast<std::size_t>(index)] >= 0);
          RC_ASSERT(table.name(index) == rules.first.name);
        }
        RC_ASSERT(now.size() <= 3 + 4 + open.size() + 4);
      }
    }
  }));
}

TEST_CASE("between the order and its settling nothing is done that either settings forbid") {
  Settings old, fresh;
  old.classes = {of("a", 1000, Idempotency::unsafe), of("gone"), of("c")};
  old.max_attempts = 3;
  fresh.classes = {of("a", 800, Idempotency::safe), of("c"), of("new")};
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
  CHECK_FALSE(transition.complete_if_due(1300));  // clients may have sent by the old ones until 1.2 s
  auto settled = transition.complete_if_due(1700);
  REQUIRE(settled);
  CHECK(*settled == fresh);
  CHECK_FALSE(transition.complete_if_due(1e9));
}

TEST_CASE("a second order before the first has settled is safe under all three, and the last one settles") {
  Settings a, b, c;
  a.classes = {of("x")};
  b.classes = {of("x", 1000, Idempotency::unsafe), of("y")};
  c.classes = {of("x"), of("z")};
  coordination::SettingsTransition transition(a);
  transition.begin(b, 0);
  const Settings& both = transition.begin(c, 1000);
  CHECK(both.classes.size() == 3);
  CHECK(both.classes[0].idempotency == Idempotency::unsafe);
  CHECK_FALSE(transition.complete_if_due(1700));
  CHECK(*transition.complete_if_due(2600) == c);
}

TEST_CASE("a configuration that is cut at any byte, lacks any key or has a bad value takes nobody's place") {
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
  CHECK(with(",\"warm_keys\":false", "") == "");  // the wire's page lets it be absent
  CHECK(with("\"objective\":100,", "") == "settings.services[0].objective is missing: wanted is a number");
  CHECK(with("\"max_attempts\":3", "") == "settings.permissions.max_attempts is missing: wanted is a number");
  CHECK(with("\"limits\":{\"sockets\":64},", "") == "limits is missing: wanted is an object");
  CHECK(with("\"hard_limit\":200", "\"hard_limit\":0") ==
        "settings.services[0].hard_limit is 0: wanted is a number over 0");
  CHECK(with("\"max_attempts\":3", "\"max_attempts\":-1") ==
        "settings.permissions.max_attempts is -1: wanted is a number over 0");
  CHECK(with("\"max_attempts\":3", "\"max_attempts\":\"3\"") ==
        "settings.permissions.max_attempts is \"3\": wanted is a number");
  CHECK(with("[1,1]", "[1]") ==
        "settings.extra.need_by_class has 1 values: wanted is one for each of 2 classes");
  CHECK(with("\"name\":\"b\"", "\"name\":\"a\"").find("another class has it already") != std::string::npos);
  CHECK(with("\"rules\":{\"cold\":1}", "\"rules\":null").find("rules is nothing") != std::string::npos);
  CHECK(app::incompatible_setting(sound, "").find("line 1: the file is empty") == 0);
  CHECK(app::incompatible_setting(sound, sound.substr(0, 150)).find("line 2") == 0);
}
