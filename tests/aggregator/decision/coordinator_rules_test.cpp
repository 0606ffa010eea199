// Coordinator, tested through its public interface: the operators' rules, and invalid events.
#include <gtest/gtest.h>

#include <string>

#include "tests/aggregator/decision/driver.hpp"

namespace winchhall::testing {
namespace {

TEST(Rules, UnsafePartThatMayHaveRunIsNeitherRetriedNorRejected) {
  for (Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timeout, Outcome::cancelled}) {
    Settings s = plain_settings();
    s.classes[0].idempotency = Idempotency::unsafe;
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10});
    d.ended("q/0", d.sent_to("q/0"), outcome);
    EXPECT_TRUE(d.actions_of<SendPart>().empty());
    EXPECT_TRUE(d.actions_of<RefuseQuery>().empty());
    EXPECT_EQ(d.actions_of<FailQuery>().size(), 1u);
  }
}

TEST(Rules, UnsafePartThatDidNotRunIsRetried) {
  for (Outcome outcome : {Outcome::full, Outcome::connect_failed, Outcome::unsent}) {
    Settings s = plain_settings();
    s.classes[0].idempotency = Idempotency::unsafe;
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10});
    std::string first = d.sent_to("q/0");
    d.ended("q/0", first, outcome);
    ASSERT_EQ(d.actions_of<SendPart>().size(), 1u);
    EXPECT_NE(d.sent_to("q/0"), first);
  }
}

TEST(Rules, KeyedPartIsRetriedOnlyWithinItsWindow) {
  for (Millis after : {100.0, 300.0}) {
    Settings s = plain_settings();
    s.classes[0].idempotency = Idempotency::keyed;
    s.classes[0].idempotency_window = 200;
    s.may_cancel = false;
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10});
    std::string first = d.sent_to("q/0");
    d.advance(after);
    d.ended("q/0", first, Outcome::error);
    EXPECT_EQ(d.actions_of<SendPart>().size(), after < 200 ? 1u : 0u);
  }
}

TEST(Rules, NoMoreAttemptsThanAllowed) {
  Driver d(plain_settings(2));
  d.servers({"a", "b", "c"});
  d.query("q", {10});
  d.ended("q/0", d.sent_to("q/0"), Outcome::error, 0);
  ASSERT_EQ(d.actions_of<SendPart>().size(), 1u);
  d.ended("q/0", d.sent_to("q/0"), Outcome::error, 1);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  EXPECT_EQ(d.actions_of<FailQuery>().size() + d.actions_of<RefuseQuery>().size(), 1u);
}

TEST(Rules, NothingIsSentToADrainingOrRemovedServer) {
  for (ServerState state : {ServerState::draining, ServerState::removed}) {
    Driver d(plain_settings());
    d.servers({"a", "b"});
    d.update_server(Driver::entry("a", state));
    for (int i = 0; i < 10; ++i) {
      std::string id = "q" + std::to_string(i);
      d.query(id, {10});
      EXPECT_EQ(d.sent_to(id + "/0"), "b");
    }
  }
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.servers({"b"});  // not in a complete list: removed
  d.query("q", {1, 1, 1});
  for (const SendPart& s : d.actions_of<SendPart>()) EXPECT_EQ(s.server, "b");
}

TEST(Rules, WarmingServerGetsAtMostItsAllowanceInAnyWindow) {
  Settings s = plain_settings();
  s.instances = 2;
  Driver d(s);
  d.servers({"a"});
  d.now = 5000;
  ServerEntry warming = Driver::entry("a");
  warming.started = 4999;
  d.update_server(warming);
  double sent = 0;
  for (int i = 0; i < 60; ++i) {
    d.query("q" + std::to_string(i), {20});
    sent += 20.0 * static_cast<double>(d.actions_of<SendPart>().size());
  }
  // 2 x (0.25 of one core) x 1000 ms / 2 instances
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 250);
  d.now += 10001;
  d.query("warm", {20});
  EXPECT_EQ(d.sent_to("warm/0"), "a");
}

TEST(Rules, RetryBudgetHoldsInAnyWindow) {
  Settings s = plain_settings(100);
  s.budget = true;
  s.budget_free = 2;
  s.budget_share = 0.1;
  s.budget_window = 500;
  s.classes[0].latency_target = 900;
  Driver d(s);
  d.servers({"a", "b"});
  d.query("q", {1, 1, 1, 1, 1, 1, 1, 1, 1});  // ten accepted, the query and its parts: 2 + 1 retries
  auto sends = d.actions_of<SendPart>();
  std::size_t retries = 0;
  for (auto& send : sends) {
    d.ended(send.part, send.server, Outcome::unsent);
    retries += d.actions_of<SendPart>().size();
  }
  EXPECT_EQ(retries, 3u);
  d.advance(495);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.advance(30);
  EXPECT_EQ(d.actions_of<SendPart>().size(),
            2u);  // the query is no longer in the window: only budget_free is left
}

TEST(List, WatchIsOpenedAtTheStartAndAgainAfterFailures) {
  Settings s = plain_settings();
  s.list_on_request = true;
  s.max_poll_interval = 10000;
  Driver d(s);
  EXPECT_EQ(d.actions_of<WatchList>().size(), 1u);
  for (int i = 0; i < 5; ++i) {
    d.event(ServerList{ServerList::Kind::failed, {}});
    d.advance(2600);
    EXPECT_EQ(d.actions_of<WatchList>().size(), 1u);
  }
  d.servers({"a"});
  d.advance(20000, 100);
  EXPECT_TRUE(d.actions_of<WatchList>().empty());  // the watch is still open
}

TEST(Misuse, UnknownIdsTimersAndTimeGoingBackAreHarmless) {
  Driver d(plain_settings());
  d.servers({"a"});
  d.now = 100;
  d.query("q", {10});
  d.now = 50;
  d.ended("nobody", "nowhere", Outcome::ok);
  d.ended("q/0", "a", Outcome::ok, 5);
  d.ended("q/0", "a", Outcome::ok, -1);
  d.event(QueryWithdrawn{"nobody"});
  d.event(PartsAdded{"q", {{"q/x", 0, 1.0, 1.0}}});
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.event(TimerFired{99});
  d.ended("q/0", "a", Outcome::ok);
  EXPECT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
}

TEST(Misuse, NothingIsSentAfterTheClientHasDisconnected) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10});
  std::string first = d.sent_to("q/0");
  d.event(QueryWithdrawn{"q"});
  d.ended("q/0", first, Outcome::error);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.advance(3500);
  EXPECT_TRUE(d.actions_of<SendPart>().empty() && d.actions_of<FailQuery>().empty() &&
              d.actions_of<RefuseQuery>().empty());
}

}  // namespace
}  // namespace winchhall::testing
