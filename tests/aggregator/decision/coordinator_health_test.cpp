// Coordinator, tested through its public interface: failing servers, and overload.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/aggregator/decision/driver.hpp"
#include "tests/aggregator/support/router_setup.hpp"

namespace winchhall::testing {
namespace {

TEST(ServerHealth, FailingServerIsEjectedThoughItHasTheLeastCost) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  for (int i = 0, errors = 0; i < 20 && errors < 2; ++i) {
    std::string id = "q" + std::to_string(i);
    d.query(id, {10});
    bool bad = d.sent_to(id + "/0") == "a";
    errors += bad;
    d.ended(id + "/0", bad ? "a" : "b", bad ? Outcome::error : Outcome::ok);
    if (bad) d.ended(id + "/0", "b", Outcome::ok, 1);
  }
  d.query("big", {500});
  d.query("next", {10});
  EXPECT_EQ(d.sent_to("next/0"), "b");
  d.now += 600;  // after the ejection time it gets one trial part only
  d.query("trial", {10, 10});
  EXPECT_NE(d.sent_to("trial/0"), d.sent_to("trial/1"));
}

TEST(ServerHealth, SuccessesOfOneClassDoNotOffsetErrorsOfAnother) {
  Settings s = plain_settings();
  s.classes.push_back(s.classes[0]);
  Driver d(s);
  d.servers({"a", "b"});
  for (int i = 0; i < 30; ++i) {  // server a fails class 1 and serves class 0
    std::string id = "q" + std::to_string(i);
    int c = i % 2;
    d.query(id, {10}, c);
    std::string to = d.sent_to(id + "/0");
    bool bad = c == 1 && to == "a";
    d.ended(id + "/0", to, bad ? Outcome::error : Outcome::ok);
    if (bad) d.ended(id + "/0", "b", Outcome::ok, 1);
  }
  for (int i = 0; i < 6; ++i) {
    std::string one = "one" + std::to_string(i), other = "other" + std::to_string(i);
    d.query(one, {10}, 1);
    EXPECT_EQ(d.sent_to(one + "/0"), "b");
    d.query(other, {1}, 0);
    EXPECT_EQ(d.sent_to(other + "/0"), "a");
    d.ended(other + "/0", "a", Outcome::ok);
  }
}

TEST(ServerHealth, QueryThatCrashesServersIsStoppedAndItsKeyRejected) {
  Settings s = plain_settings(3);
  Driver d(s);
  std::vector<std::string> names;
  for (int i = 0; i < 12; ++i) names.push_back("s" + std::to_string(i));
  d.servers(names);
  std::set<std::string> crashed;
  auto ask = [&](const std::string& id, std::uint64_t key) {
    QueryArrived q;
    q.query = id;
    q.give_up_at = d.now + 3000;
    q.key = key;
    for (int i = 0; i < 4; ++i) q.parts.push_back({id + "/" + std::to_string(i), 0, 0.25, 10.0});
    d.event(q);
  };
  ask("poison", 99);
  std::vector<SendPart> sends = d.actions_of<SendPart>();
  std::map<std::string, int> attempts;
  ASSERT_EQ(sends.size(), 4u);
  for (std::size_t i = 0; i < sends.size(); ++i) {  // grows: each attempt crashes its server
    crashed.insert(sends[i].server);
    d.ended(sends[i].part, sends[i].server, Outcome::reset, attempts[sends[i].part]++);
    for (const SendPart& more : d.actions_of<SendPart>()) sends.push_back(more);
  }
  EXPECT_LE(crashed.size(), 6u);  // the four servers of the first attempts, and two more
  ask("again", 99);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  EXPECT_EQ(d.actions_of<FailQuery>().size() + d.actions_of<RefuseQuery>().size(), 1u);
  ask("other", 98);  // one part first, the others after its answer
  ASSERT_EQ(d.actions_of<SendPart>().size(), 1u);
  auto first = d.actions_of<SendPart>()[0];
  d.ended(first.part, first.server, Outcome::ok);
  d.advance(20);
  EXPECT_EQ(d.actions_of<SendPart>().size(), 3u);
}

TEST(ServerHealth, QueryWithTwoBrokenConnectionsContinuesOnePartAtATimeUntilOneSucceeds) {
  Driver d(plain_settings(3));
  d.servers({"a", "b", "c", "d"});
  d.query("q", {10, 10, 10, 10});
  auto sends = d.actions_of<SendPart>();
  d.ended(sends[2].part, sends[2].server, Outcome::ok);
  d.ended(sends[0].part, sends[0].server, Outcome::reset);
  std::vector<SendPart> retries = d.actions_of<SendPart>();
  d.ended(sends[1].part, sends[1].server, Outcome::reset);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.ended(sends[3].part, sends[3].server, Outcome::ok);  // ends the restriction to one part at a time
  d.advance(20);
  EXPECT_EQ(d.actions_of<SendPart>().size() + retries.size(), 2u);
  EXPECT_TRUE(d.actions_of<FailQuery>().empty());
}

TEST(ServerHealth, ImmediatelyFailingServerRanksBehindOneAtCapacity) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  for (int i = 0, errors = 0; errors < 2; ++i) {
    std::string id = "q" + std::to_string(i);
    d.query(id, {10});
    std::string to = d.sent_to(id + "/0");
    errors += to == "a";
    d.ended(id + "/0", to, to == "a" ? Outcome::error : Outcome::ok);
    if (to == "a") d.ended(id + "/0", "b", Outcome::ok, 1);
  }
  d.query("full", {10});
  ASSERT_EQ(d.sent_to("full/0"), "b");
  d.ended("full/0", "b", Outcome::full);
  d.query("next", {500});
  EXPECT_EQ(d.sent_to("next/0"), "b");
}

TEST(ServerHealth, RetryWaitsWhileAllReplicasFailImmediately) {
  Driver d(plain_settings(4));
  d.servers({"a"});
  d.query("q", {10});
  d.ended("q/0", "a", Outcome::connect_failed);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.advance(400);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.advance(200);
  EXPECT_EQ(d.actions_of<SendPart>().size(), 1u);
}

TEST(ServerHealth, QueryIsSentThoughAllReplicasAreEjected) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10, 10});
  std::string s0 = d.sent_to("q/0"), s1 = d.sent_to("q/1");
  d.ended("q/0", s0, Outcome::connect_failed);
  d.ended("q/1", s1, Outcome::connect_failed);
  d.query("r", {10});
  EXPECT_EQ(d.actions_of<SendPart>().size(), 1u);
}

TEST(ServerHealth, LateAttemptAtAnUnresponsiveServerIsRetriedElsewhere) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  train_estimates(d, 20, 100);
  d.query("q", {100});
  std::string first = d.sent_to("q/0");
  d.advance(450);
  ASSERT_EQ(d.actions_of<CancelAttempt>().size(), 1u);
  d.ended("q/0", first, Outcome::cancelled);
  ASSERT_EQ(d.actions_of<SendPart>().size(), 1u);
  EXPECT_NE(d.actions_of<SendPart>()[0].server, first);
}

TEST(ServerHealth, BrokenConnectionsOfRunningServersDoNotCountAsCrashes) {
  // Servers answer right after their connections broke, so later breaks count as network faults: a query that
  // sees several of them is neither ended nor sent one part at a time.
  Driver d(plain_settings(5));
  d.servers({"a", "b", "c"});
  for (int i = 0; i < 6; ++i) {
    std::string id = "cut" + std::to_string(i);
    d.query(id, {100});
    std::string server = d.sent_to(id + "/0");
    ASSERT_NE(server, "");
    d.query(id + "x", {100, 100, 100});  // an attempt in flight at each server
    auto others = d.actions_of<SendPart>();
    d.now += 30;
    d.ended(id + "/0", server, Outcome::reset);
    std::string again = d.sent_to(id + "/0");
    for (const SendPart& o : others) d.ended(o.part, o.server, Outcome::ok);
    if (!again.empty()) d.ended(id + "/0", again, Outcome::ok, 1);
  }
  d.query("q", {100, 100, 100});
  auto sends = d.actions_of<SendPart>();
  ASSERT_EQ(sends.size(), 3u);
  for (const SendPart& s : sends) {
    d.ended(s.part, s.server, Outcome::reset);
    EXPECT_EQ(d.actions_of<RefuseQuery>().size() + d.actions_of<FailQuery>().size(), 0u);
    EXPECT_EQ(d.actions_of<SendPart>().size(), 1u) << s.part;
  }
}

TEST(ServerHealth, ServerUnresponsiveForOneClassIsAvoidedForThatClassOnly) {
  Settings s = plain_settings();
  s.classes.push_back(s.classes[0]);
  Driver d(s);
  d.servers({"a", "b"});
  int swallowed = 0, served = 0;
  for (int i = 0; i < 40; ++i) {
    std::string id = "q" + std::to_string(i);
    d.query(id, {100}, i % 2);
    std::string server = d.sent_to(id + "/0");
    ASSERT_NE(server, "");
    if (i % 2 == 1 && server == "a") {
      ++swallowed;
      d.now += 1000;
      d.ended(id + "/0", server, Outcome::timeout);
      continue;
    }
    served += server == "a";
    d.now += 20;
    d.ended(id + "/0", server, Outcome::ok);
  }
  EXPECT_LE(swallowed, 6);
  EXPECT_GE(served, 5);
}

TEST(Overload, QueryThatCannotFinishInTimeIsRejectedBeforeItIsSent) {
  Settings s = plain_settings();
  s.honors_retry_after = true;
  s.max_retry_after = 400;
  Driver d(s);
  d.servers({"a"});
  for (int round = 0; round < 5; ++round) {  // five queries at a time, answered one after another
    std::string id = "deep" + std::to_string(round) + ".";
    for (int i = 0; i < 5; ++i) d.query(id + std::to_string(i), {100});
    for (int i = 0; i < 5; ++i) {
      d.now += 100;
      d.ended(id + std::to_string(i) + "/0", "a", Outcome::ok);
    }
  }
  for (int i = 0; i < 30; ++i) {
    d.query("q" + std::to_string(i), {100});
    if (!d.actions_of<RefuseQuery>().empty()) break;
  }
  ASSERT_EQ(d.actions_of<RefuseQuery>().size(), 1u);
  EXPECT_GT(d.actions_of<RefuseQuery>()[0].retry_after, 0);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
}

// Guards against counting queueing twice: a server's response ratio (response time over cost estimate)
// includes the queue at that time. When it was multiplied with the cost ahead, parts that a slow server would
// have answered in time were rejected.
TEST(Overload, QueueingIsNotCountedTwiceForASlowServer) {
  Driver d(plain_settings());
  d.servers({"a", "b", "c"});
  auto only = [&](const std::vector<std::string>& ready) {
    for (const char* name : {"a", "b", "c"}) {
      bool is = std::find(ready.begin(), ready.end(), name) != ready.end();
      d.update_server(Driver::entry(name, is ? ServerState::ready : ServerState::draining));
    }
  };
  only({"a"});
  train_estimates(d, 8, 400);  // as the only server, 400 ms per part
  only({"b", "c"});
  train_estimates(d, 8, 50);
  only({"a", "b", "c"});
  d.advance(10);  // the median response ratio is now that of b and c, an eighth of a's
  only({"a"});
  d.query("q", {100}, 0, 600);
  EXPECT_TRUE(d.actions_of<RefuseQuery>().empty());
  EXPECT_EQ(d.sent_to("q/0"), "a");
}

TEST(Overload, PartsOfLowWeightPerCostAreLeftOut) {
  Settings s = plain_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].min_share = 0.6;
  s.classes[1].partial_value = 0.9;
  Driver d(s);
  d.servers({"a"});
  for (int round = 0; round < 5; ++round) {
    std::string id = "deep" + std::to_string(round) + ".";
    for (int i = 0; i < 5; ++i) d.query(id + std::to_string(i), {100});
    for (int i = 0; i < 5; ++i) {
      d.now += 100;
      d.ended(id + std::to_string(i) + "/0", "a", Outcome::ok);
    }
  }
  QueryArrived q;
  q.query_class = 1;
  q.parts = {{"", 0, 0.6, 50.0}, {"", 0, 0.25, 50.0}, {"", 0, 0.15, 50.0}};
  auto ask = [&](const std::string& id) {
    q.query = id;
    q.give_up_at = d.now + 3000;
    for (int i = 0; i < 3; ++i) q.parts[static_cast<std::size_t>(i)].part = id + "/" + std::to_string(i);
    d.event(q);
  };
  ask("idle");
  EXPECT_EQ(d.actions_of<SendPart>().size(), 3u);
  for (int i = 0; i < 5; ++i) d.query("before" + std::to_string(i), {100});
  ask("overloaded");
  ASSERT_EQ(d.actions_of<SendPart>().size(), 1u);
  EXPECT_EQ(d.actions_of<SendPart>()[0].part, "overloaded/0");
  d.ended("overloaded/0", "a", Outcome::ok);
  ASSERT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
  EXPECT_FALSE(d.actions_of<AnswerQuery>()[0].complete);
}

}  // namespace
}  // namespace winchhall::testing
