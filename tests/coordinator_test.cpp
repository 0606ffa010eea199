// The module, driven through its interface: the ordinary path, the rules, and each failure found.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <set>

#include "driver.hpp"

namespace pewterrill::testing {
namespace {

// Answers `rounds` single-part queries so that the learned figures are trusted; each takes `took` ms.
void teach(Driver& d, int rounds, Millis took, double hint = 100) {
  for (int i = 0; i < rounds; ++i) {
    std::string id = "teach" + std::to_string(d.now) + "." + std::to_string(i);
    d.query(id, {hint});
    std::string server = d.sent_to(id + "/0");
    d.now += took;
    d.ended(id + "/0", server, Outcome::ok);
  }
}

TEST(Choice, LargestPartFirstOnTheLeastSum) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10, 70, 40, 25});
  auto sends = d.of<SendPart>();
  ASSERT_EQ(sends.size(), 4u);
  // 70 goes to one server; 40, 25 (65) and then 10 (65 against 70) go to the other.
  std::string big = d.sent_to("q/1"), other = big == "a" ? "b" : "a";
  EXPECT_EQ(d.sent_to("q/2"), other);
  EXPECT_EQ(d.sent_to("q/3"), other);
  EXPECT_EQ(d.sent_to("q/0"), other);
}

TEST(Choice, TiesAreDrawnFromTheSeed) {
  std::set<std::string> seen;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    std::string first;
    for (int twice = 0; twice < 2; ++twice) {
      Driver d(plain_settings(), seed);
      d.servers({"a", "b", "c"});
      d.query("q", {10});
      if (twice) {
        EXPECT_EQ(d.sent_to("q/0"), first);
      }
      first = d.sent_to("q/0");
    }
    seen.insert(first);
  }
  EXPECT_EQ(seen.size(), 3u);
}

TEST(Choice, OutstandingCostIsShedWhenTheAnswerComes) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {50});
  std::string first = d.sent_to("q/0"), other = first == "a" ? "b" : "a";
  d.query("r", {20});
  EXPECT_EQ(d.sent_to("r/0"), other);
  d.ended("q/0", first, Outcome::ok);
  d.query("s", {20});
  EXPECT_EQ(d.sent_to("s/0"), first);
}

TEST(Choice, QueuedReportsCountAtTheMeanHintUntilTheNext) {
  Settings s = plain_settings();
  s.reports = true;
  s.report_fields = {ReportField::other, ReportField::queued, ReportField::in_flight};
  Driver e(s);
  e.servers({"a", "b"});
  e.query("q", {50});
  std::string first = e.sent_to("q/0"), other = first == "a" ? "b" : "a";
  e.ended("q/0", first, Outcome::ok, 0, {900, 3, 0});  // 3 queued x 50
  e.query("r", {50});
  EXPECT_EQ(e.sent_to("r/0"), other);
  e.query("s", {50});  // 50 + 50 on the other against 150 + 50
  EXPECT_EQ(e.sent_to("s/0"), other);
}

TEST(Choice, WithoutQueuedItemsPartsInFlightCount) {
  Settings s = plain_settings();
  s.reports = true;
  s.report_fields = {ReportField::in_flight};
  Driver d(s);
  d.servers({"a", "b"});
  d.query("q", {50});
  std::string first = d.sent_to("q/0");
  d.ended("q/0", first, Outcome::ok, 0, {2});
  d.query("r", {50});
  EXPECT_NE(d.sent_to("r/0"), first);
}

TEST(Choice, OnlyHoldersOfTheShard) {
  Settings s = plain_settings();
  s.cells = 4;
  s.reach = 2;
  Driver d(s);
  ServerList list;
  for (int cell = 0; cell < 4; ++cell) {
    ServerEntry e = Driver::entry("c" + std::to_string(cell));
    e.cell = cell;
    list.servers.push_back(e);
  }
  d.event(list);
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) {
    QueryArrived q;
    q.query = "q" + std::to_string(i);
    q.give_up_at = 3000;
    q.parts.push_back({q.query + "/0", 7, 1.0, 10.0});  // shard 7: cells 3 and 0
    d.event(q);
    used.insert(d.sent_to(q.query + "/0"));
  }
  EXPECT_EQ(used, (std::set<std::string>{"c0", "c3"}));
}

TEST(Choice, NonsenseFiguresPoisonNothing) {
  Settings s = plain_settings();
  s.reports = true;
  s.report_fields = {ReportField::queued};
  Driver d(s);
  d.servers({"a", "b"});
  const double inf = std::numeric_limits<double>::infinity();
  d.query("q", {std::nan(""), inf, -5, 0, 10});
  ASSERT_EQ(d.of<SendPart>().size(), 5u);
  auto sends = d.of<SendPart>();
  for (auto& send : sends) d.ended(send.part, send.server, Outcome::ok, 0, {std::nan("")});
  d.query("r", {10});
  std::string first = d.sent_to("r/0");
  d.ended("r/0", first, Outcome::ok, 0, {-inf});
  d.query("s", {10, 10});
  EXPECT_NE(d.sent_to("s/0"), d.sent_to("s/1"));
}

TEST(Answer, OnceAndWholeWhenAllIsIn) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10, 10});
  std::string s0 = d.sent_to("q/0"), s1 = d.sent_to("q/1");
  d.ended("q/0", s0, Outcome::ok);
  EXPECT_TRUE(d.of<AnswerQuery>().empty());
  d.ended("q/0", s0, Outcome::ok);  // a repeated outcome counts once
  EXPECT_TRUE(d.of<AnswerQuery>().empty());
  d.ended("q/1", s1, Outcome::ok);
  ASSERT_EQ(d.of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.of<AnswerQuery>()[0].whole);
  d.pass(4000);
  EXPECT_TRUE(d.of<AnswerQuery>().empty() && d.of<FailQuery>().empty() && d.of<SendPart>().empty());
}

// Shares are sent rounded: 186 parts of 0.005376 make 0.999936. All of them in is the whole answer, and a
// query that can be whole is neither refused nor failed at once for a shortfall that rounding made.
TEST(Answer, ManyPartsWhoseRoundedSharesFallShortOfOneAreStillWhole) {
  constexpr int kParts = 186;
  constexpr double kRounded = 0.005376;  // 1/186 to six places
  Driver d(plain_settings());
  d.servers({"a", "b", "c"});
  QueryArrived q;
  q.query = "q";
  q.give_up_at = d.now + 3000;
  for (int i = 0; i < kParts; ++i) q.parts.push_back({"q/" + std::to_string(i), 0, kRounded, 10.0});
  d.event(q);
  EXPECT_TRUE(d.of<RefuseQuery>().empty() && d.of<FailQuery>().empty());
  ASSERT_EQ(d.of<SendPart>().size(), static_cast<std::size_t>(kParts));
  std::vector<SendPart> sends = d.of<SendPart>();
  std::size_t answers = 0;
  for (const SendPart& s : sends) {
    d.ended(s.part, s.server, Outcome::ok);
    EXPECT_TRUE(d.of<RefuseQuery>().empty() && d.of<FailQuery>().empty());
    answers += d.of<AnswerQuery>().size();
    if (&s != &sends.back()) {
      EXPECT_EQ(answers, 0u);  // nothing is called whole before the last part
    }
  }
  ASSERT_EQ(answers, 1u);
  EXPECT_TRUE(d.of<AnswerQuery>()[0].whole);
}

TEST(Answer, NobodyToAskStillEndsInTime) {
  Driver d(plain_settings());
  d.query("q", {10});
  d.pass(1000);
  EXPECT_EQ(d.of<FailQuery>().size() + d.of<RefuseQuery>().size(), 1u);
}

TEST(Answer, AnySoManyPartsSufficeAndSparesStandIn) {
  Settings s = plain_settings();
  s.classes[0].need = s.classes[0].floor = 0.5;
  Driver d(s);
  d.servers({"a", "b"});
  d.query("q", {10, 10, 10, 10});
  auto sends = d.of<SendPart>();
  ASSERT_EQ(sends.size(), 2u);
  d.ended(sends[0].part, sends[0].server, Outcome::ok);
  d.ended(sends[1].part, sends[1].server, Outcome::error);
  ASSERT_EQ(d.of<SendPart>().size(), 1u);
  auto again = d.of<SendPart>()[0];
  d.ended(again.part, again.server, Outcome::ok, again.part == sends[1].part ? 1 : 0);
  ASSERT_EQ(d.of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.of<AnswerQuery>()[0].whole);
}

TEST(Answer, PartialNearTheAimNeverUnderTheFloorNorMarkedWhole) {
  Settings s = plain_settings();
  s.classes[0].floor = 0.5;
  s.classes[0].partial_worth = 0.9;
  for (int in = 0; in < 4; ++in) {
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10, 10, 10, 10});
    auto sends = d.of<SendPart>();
    ASSERT_EQ(sends.size(), 4u);
    for (int i = 0; i < in; ++i) d.ended(sends[i].part, sends[i].server, Outcome::ok);
    d.pass(1000);
    ASSERT_EQ(d.of<AnswerQuery>().size(), in >= 2 ? 1u : 0u) << in;
    if (in >= 2) {
      EXPECT_FALSE(d.of<AnswerQuery>()[0].whole);
    } else {
      EXPECT_EQ(d.of<FailQuery>().size() + d.of<RefuseQuery>().size(), 1u);
    }
  }
}

TEST(Answer, ASecondStepIsAwaitedAndNeedsAll) {
  Settings s = plain_settings();
  s.classes[0].second_step_parts = 1;
  Driver d(s);
  d.servers({"a"});
  d.query("q", {10});
  d.ended("q/0", "a", Outcome::ok);
  ASSERT_EQ(d.of<AnswerQuery>().size(), 1u);
  d.event(PartsAdded{"q", {{"q/x", 0, 1.0, 5.0}}});
  ASSERT_EQ(d.sent_to("q/x"), "a");
  d.ended("q/x", "a", Outcome::ok);
  ASSERT_EQ(d.of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.of<AnswerQuery>()[0].whole);
}

TEST(Rules, AnUnsafePartThatMayHaveRunIsNotRepeatedNorRefused) {
  for (Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timeout, Outcome::cancelled}) {
    Settings s = plain_settings();
    s.classes[0].repeat = Repeat::unsafe;
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10});
    d.ended("q/0", d.sent_to("q/0"), outcome);
    EXPECT_TRUE(d.of<SendPart>().empty());
    EXPECT_TRUE(d.of<RefuseQuery>().empty());
    EXPECT_EQ(d.of<FailQuery>().size(), 1u);
  }
}

TEST(Rules, AnUnsafePartProvenNotRunIsRepeated) {
  for (Outcome outcome : {Outcome::full, Outcome::connect_failed, Outcome::unsent}) {
    Settings s = plain_settings();
    s.classes[0].repeat = Repeat::unsafe;
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10});
    std::string first = d.sent_to("q/0");
    d.ended("q/0", first, outcome);
    ASSERT_EQ(d.of<SendPart>().size(), 1u);
    EXPECT_NE(d.sent_to("q/0"), first);
  }
}

TEST(Rules, AKeyedPartIsRepeatedOnlyWithinItsWindow) {
  for (Millis after : {100.0, 300.0}) {
    Settings s = plain_settings();
    s.classes[0].repeat = Repeat::keyed;
    s.classes[0].repeat_window = 200;
    s.may_cancel = false;
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10});
    std::string first = d.sent_to("q/0");
    d.pass(after);
    d.ended("q/0", first, Outcome::error);
    EXPECT_EQ(d.of<SendPart>().size(), after < 200 ? 1u : 0u);
  }
}

TEST(Rules, NoMoreAttemptsThanAllowed) {
  Driver d(plain_settings(2));
  d.servers({"a", "b", "c"});
  d.query("q", {10});
  d.ended("q/0", d.sent_to("q/0"), Outcome::error, 0);
  ASSERT_EQ(d.of<SendPart>().size(), 1u);
  d.ended("q/0", d.sent_to("q/0"), Outcome::error, 1);
  EXPECT_TRUE(d.of<SendPart>().empty());
  EXPECT_EQ(d.of<FailQuery>().size() + d.of<RefuseQuery>().size(), 1u);
}

TEST(Rules, NothingNewToADrainingOrGoneServer) {
  for (ServerState state : {ServerState::draining, ServerState::gone}) {
    Driver d(plain_settings());
    d.servers({"a", "b"});
    d.change(Driver::entry("a", state));
    for (int i = 0; i < 10; ++i) {
      std::string id = "q" + std::to_string(i);
      d.query(id, {10});
      EXPECT_EQ(d.sent_to(id + "/0"), "b");
    }
  }
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.servers({"b"});  // not named in a complete list: gone
  d.query("q", {1, 1, 1});
  for (const SendPart& s : d.of<SendPart>()) EXPECT_EQ(s.server, "b");
}

TEST(Rules, AColdServerGetsItsFractionOfTheAllowanceInAnyWindow) {
  Settings s = plain_settings();
  s.brokers = 2;
  Driver d(s);
  d.servers({"a"});
  d.now = 5000;
  ServerEntry cold = Driver::entry("a");
  cold.started = 4999;
  d.change(cold);
  double sent = 0;
  for (int i = 0; i < 60; ++i) {
    d.query("q" + std::to_string(i), {20});
    sent += 20.0 * static_cast<double>(d.of<SendPart>().size());
  }
  // 2 x (0.25 of one core) x 1000 ms / 2 brokers
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 250);
  d.now += 10001;
  d.query("warm", {20});
  EXPECT_EQ(d.sent_to("warm/0"), "a");
}

TEST(Rules, TheBudgetOfFurtherAttemptsHoldsInAnyWindow) {
  Settings s = plain_settings(100);
  s.budget = true;
  s.budget_free = 2;
  s.budget_share = 0.1;
  s.budget_window = 500;
  s.classes[0].aim = 900;
  Driver d(s);
  d.servers({"a", "b"});
  d.query("q", {1, 1, 1, 1, 1, 1, 1, 1, 1});  // ten taken: 2 + 1 further attempts
  auto sends = d.of<SendPart>();
  std::size_t further = 0;
  for (auto& send : sends) {
    d.ended(send.part, send.server, Outcome::unsent);
    further += d.of<SendPart>().size();
  }
  EXPECT_EQ(further, 3u);
  d.pass(495);
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.pass(30);
  EXPECT_EQ(d.of<SendPart>().size(), 2u);  // the query itself has left the window: the free ones alone
}

TEST(Health, AServerThatErrsIsSetAsideThoughItsSumIsLeast) {
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
  d.now += 600;  // after its rest it gets one trial part, not more
  d.query("trial", {10, 10});
  EXPECT_NE(d.sent_to("trial/0"), d.sent_to("trial/1"));
}

TEST(Health, ErrorsOfOneClassAreNotForgivenForAnothersSuccesses) {
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

TEST(Health, AQueryThatFellsServersIsStoppedAndRemembered) {
  Settings s = plain_settings(3);
  Driver d(s);
  std::vector<std::string> names;
  for (int i = 0; i < 12; ++i) names.push_back("s" + std::to_string(i));
  d.servers(names);
  std::set<std::string> fallen;
  auto ask = [&](const std::string& id, std::uint64_t key) {
    QueryArrived q;
    q.query = id;
    q.give_up_at = d.now + 3000;
    q.key = key;
    for (int i = 0; i < 4; ++i) q.parts.push_back({id + "/" + std::to_string(i), 0, 0.25, 10.0});
    d.event(q);
  };
  ask("poison", 99);
  std::vector<SendPart> sends = d.of<SendPart>();
  std::map<std::string, int> attempts;
  ASSERT_EQ(sends.size(), 4u);
  for (std::size_t i = 0; i < sends.size(); ++i) {  // grows: every attempt breaks its server
    fallen.insert(sends[i].server);
    d.ended(sends[i].part, sends[i].server, Outcome::reset, attempts[sends[i].part]++);
    for (const SendPart& more : d.of<SendPart>()) sends.push_back(more);
  }
  EXPECT_LE(fallen.size(), 6u);  // the four it was first sent to, and two more
  ask("again", 99);
  EXPECT_TRUE(d.of<SendPart>().empty());
  EXPECT_EQ(d.of<FailQuery>().size() + d.of<RefuseQuery>().size(), 1u);
  ask("other", 98);  // one part first, the rest when it has come back
  ASSERT_EQ(d.of<SendPart>().size(), 1u);
  auto first = d.of<SendPart>()[0];
  d.ended(first.part, first.server, Outcome::ok);
  d.pass(20);
  EXPECT_EQ(d.of<SendPart>().size(), 3u);
}

TEST(Health, ABystanderOfACrashGoesOnOnePartAtATimeAndIsCleared) {
  Driver d(plain_settings(3));
  d.servers({"a", "b", "c", "d"});
  d.query("q", {10, 10, 10, 10});
  auto sends = d.of<SendPart>();
  d.ended(sends[2].part, sends[2].server, Outcome::ok);
  d.ended(sends[0].part, sends[0].server, Outcome::reset);
  std::vector<SendPart> retries = d.of<SendPart>();
  d.ended(sends[1].part, sends[1].server, Outcome::reset);
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.ended(sends[3].part, sends[3].server, Outcome::ok);  // clears it
  d.pass(20);
  EXPECT_EQ(d.of<SendPart>().size() + retries.size(), 2u);
  EXPECT_TRUE(d.of<FailQuery>().empty());
}

TEST(Health, AServerThatFailsAtOnceRanksBehindSilentOnes) {
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

TEST(Health, AFurtherAttemptWaitsWhileAllFailAtOnce) {
  Driver d(plain_settings(4));
  d.servers({"a"});
  d.query("q", {10});
  d.ended("q/0", "a", Outcome::connect_failed);
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.pass(400);
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.pass(200);
  EXPECT_EQ(d.of<SendPart>().size(), 1u);
}

TEST(Health, WhenAllReplicasLookBadTheLeastSumDecides) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10, 10});
  std::string s0 = d.sent_to("q/0"), s1 = d.sent_to("q/1");
  d.ended("q/0", s0, Outcome::connect_failed);
  d.ended("q/1", s1, Outcome::connect_failed);
  d.query("r", {10});
  EXPECT_EQ(d.of<SendPart>().size(), 1u);
}

TEST(Health, AnOverdueAttemptAtASilentServerIsMoved) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  teach(d, 20, 100);
  d.query("q", {100});
  std::string first = d.sent_to("q/0");
  d.pass(450);
  ASSERT_EQ(d.of<CancelAttempt>().size(), 1u);
  d.ended("q/0", first, Outcome::cancelled);
  ASSERT_EQ(d.of<SendPart>().size(), 1u);
  EXPECT_NE(d.of<SendPart>()[0].server, first);
}

TEST(Overload, WhatCannotBeInTimeIsRefusedBeforeItIsSent) {
  Settings s = plain_settings();
  s.retry_after_heard = true;
  s.max_retry_after = 400;
  Driver d(s);
  d.servers({"a"});
  for (int round = 0; round < 5; ++round) {  // queues of five, worked off one after another
    std::string id = "deep" + std::to_string(round) + ".";
    for (int i = 0; i < 5; ++i) d.query(id + std::to_string(i), {100});
    for (int i = 0; i < 5; ++i) {
      d.now += 100;
      d.ended(id + std::to_string(i) + "/0", "a", Outcome::ok);
    }
  }
  for (int i = 0; i < 30; ++i) {
    d.query("q" + std::to_string(i), {100});
    if (!d.of<RefuseQuery>().empty()) break;
  }
  ASSERT_EQ(d.of<RefuseQuery>().size(), 1u);
  EXPECT_GT(d.of<RefuseQuery>()[0].retry_after, 0);
  EXPECT_TRUE(d.of<SendPart>().empty());
}

// Seen on a day of many slow leafs: a server's pace, learned as its time over a part's hint with its queue of
// then in it, was multiplied into the work ahead once more, and parts that its server would answer in time
// were refused.
TEST(Overload, APartItsServerAnsweredInTimeAloneOfLateIsNotRefused) {
  Driver d(plain_settings());
  d.servers({"a", "b", "c"});
  auto only = [&](const std::vector<std::string>& ready) {
    for (const char* name : {"a", "b", "c"}) {
      bool is = std::find(ready.begin(), ready.end(), name) != ready.end();
      d.change(Driver::entry(name, is ? ServerState::ready : ServerState::draining));
    }
  };
  only({"a"});
  teach(d, 8, 400);  // alone, 400 ms a part
  only({"b", "c"});
  teach(d, 8, 50);
  only({"a", "b", "c"});
  d.pass(10);  // the peers' median pace is now b's and c's, an eighth of a's
  only({"a"});
  d.query("q", {100}, 0, 600);
  EXPECT_TRUE(d.of<RefuseQuery>().empty());
  EXPECT_EQ(d.sent_to("q/0"), "a");
}

TEST(Overload, UnderPressureThePartsThatWeighLeastForTheirWorkAreLeftOut) {
  Settings s = plain_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].floor = 0.6;
  s.classes[1].partial_worth = 0.9;
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
  ask("calm");
  EXPECT_EQ(d.of<SendPart>().size(), 3u);
  for (int i = 0; i < 5; ++i) d.query("before" + std::to_string(i), {100});
  ask("pressed");
  ASSERT_EQ(d.of<SendPart>().size(), 1u);
  EXPECT_EQ(d.of<SendPart>()[0].part, "pressed/0");
  d.ended("pressed/0", "a", Outcome::ok);
  ASSERT_EQ(d.of<AnswerQuery>().size(), 1u);
  EXPECT_FALSE(d.of<AnswerQuery>()[0].whole);
}

TEST(List, AnAskedForListIsWatchedFromTheStartAndAgainAfterFailures) {
  Settings s = plain_settings();
  s.list_on_request = true;
  s.must_ask_in = 10000;
  Driver d(s);
  EXPECT_EQ(d.of<WatchList>().size(), 1u);
  for (int i = 0; i < 5; ++i) {
    d.event(ServerList{ServerList::Kind::failed, {}});
    d.pass(2600);
    EXPECT_EQ(d.of<WatchList>().size(), 1u);
  }
  d.servers({"a"});
  d.pass(20000, 100);
  EXPECT_TRUE(d.of<WatchList>().empty());  // the watch holds
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
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.event(TimerFired{99});
  d.ended("q/0", "a", Outcome::ok);
  EXPECT_EQ(d.of<AnswerQuery>().size(), 1u);
}

TEST(Misuse, NothingIsSentAfterTheClientHasLeft) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10});
  std::string first = d.sent_to("q/0");
  d.event(QueryWithdrawn{"q"});
  d.ended("q/0", first, Outcome::error);
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.pass(3500);
  EXPECT_TRUE(d.of<SendPart>().empty() && d.of<FailQuery>().empty() && d.of<RefuseQuery>().empty());
}

// ---- Many brokers, each seeing little

TEST(Sparse, AServerUnheardOfIsTakenForTheTiersAverage) {
  Settings s = plain_settings();
  s.cells = 2;
  s.reports = true;
  s.report_fields = {ReportField::queued};
  Driver d(s);
  ServerList list;
  for (const char* name : {"a", "b", "c"}) {
    list.servers.push_back(Driver::entry(name));
    list.servers.back().cell = name[0] == 'c';
  }
  d.event(list);
  auto ask = [&](const std::string& id, int shard) {
    QueryArrived q;
    q.query = id;
    q.give_up_at = d.now + 3000;
    q.parts.push_back({id + "/0", shard, 1.0, 100.0});
    d.event(q);
    return d.sent_to(id + "/0");
  };
  // One replica of shard 0 reports a short queue, the rest of the tier, heard often, long ones.
  std::string first = ask("q", 0);
  for (int i = 0; i < 30; ++i) {
    std::string id = "c" + std::to_string(i);
    ASSERT_EQ(ask(id, 1), "c");
    d.now += 20;
    d.ended(id + "/0", "c", Outcome::ok, 0, {3});
  }
  d.ended("q/0", first, Outcome::ok, 0, {1});
  EXPECT_EQ(ask("r", 0), first);
}

TEST(Sparse, AShareOfTheColdAllowanceBelowOnePartIsKeptInExpectation) {
  // 50 brokers against one cold server: together they send about the share, and none sends two in a span.
  Settings s = plain_settings();
  s.brokers = 50;
  double sent = 0;
  int most = 0;
  for (int broker = 0; broker < s.brokers; ++broker) {
    Driver d(s, 1000 + static_cast<std::uint64_t>(broker));
    d.now = 2000;  // past the broker's own first span
    ServerEntry cold = Driver::entry("cold");
    cold.started = d.now;
    d.event(ServerList{ServerList::Kind::complete, {cold}});
    int mine = 0;
    for (int i = 0; i < 19; ++i) {
      d.query("q" + std::to_string(i), {100});
      mine += static_cast<int>(d.of<SendPart>().size());
      d.now += 50;
    }
    sent += mine * 100;
    most = std::max(most, mine);
  }
  EXPECT_EQ(most, 1);
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent,
            2 * 0.25 * 1000 * 2);  // multiple x cold share x span, for the two cores that such servers have
}

TEST(Sparse, CallsForTheListAfterACommonFailureAreSpreadByTheSizeOfTheFleet) {
  // 100 brokers lose their watch in one moment, and every call for a new one fails after 2 s in the queue.
  // The service is never asked by more than half of them in a second, and within 12 s each has asked again.
  Settings s = plain_settings();
  s.brokers = 100;
  s.list_on_request = true;
  s.must_ask_in = 10000;
  std::vector<int> calls(60);
  for (int broker = 0; broker < s.brokers; ++broker) {
    Driver d(s, 500 + static_cast<std::uint64_t>(broker));
    d.servers({"a"});
    d.now = 1000;
    d.event(ServerList{ServerList::Kind::failed, {}});
    Millis fails_at = 0;
    int asked = 0;
    while (d.now < 30000) {
      d.pass(10);
      if (!d.of<WatchList>().empty()) {
        ++calls[static_cast<std::size_t>(d.now / 1000)];
        fails_at = d.now + 2000;
        ++asked;
      } else if (fails_at > 0 && d.now >= fails_at) {
        fails_at = 0;
        d.event(ServerList{ServerList::Kind::failed, {}});
      }
      if (d.now >= 13000 && asked == 0) ADD_FAILURE() << "broker " << broker << " never asked again";
    }
  }
  for (std::size_t second = 0; second < calls.size(); ++second) EXPECT_LE(calls[second], 50) << second;
  int later = 0;  // once each has failed a few times
  for (std::size_t second = 15; second < 30; ++second) later += calls[second];
  EXPECT_LE(later, 15 * 20);
  EXPECT_GE(later, 15 * 5);
}

TEST(Sparse, APartLateByTheUsualResponseGetsACopyAndTheFirstAnswerCounts) {
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b", "c"});
  teach(d, 20, 30);
  d.query("q", {10});
  auto first = d.of<SendPart>();
  ASSERT_EQ(first.size(), 1u);
  d.pass(20);
  EXPECT_TRUE(d.of<SendPart>().empty()) << "not late yet";
  d.pass(40);
  auto copies = d.of<SendPart>();
  ASSERT_EQ(copies.size(), 1u);
  EXPECT_TRUE(d.of<CancelAttempt>().empty()) << "the first attempt may still be the faster one";
  EXPECT_NE(copies[0].server, first[0].server);
  d.ended("q/0", copies[0].server, Outcome::ok, 1);
  ASSERT_EQ(d.of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.of<AnswerQuery>()[0].whole);
  auto cancelled = d.of<CancelAttempt>();
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, 0);
  d.ended("q/0", first[0].server, Outcome::ok, 0);
  EXPECT_TRUE(d.of<AnswerQuery>().empty()) << "one final answer";
}

TEST(Sparse, AnAttemptWhoseStreamHasBegunIsNeitherCopiedNorCalledOff) {
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b"});
  teach(d, 20, 30);
  d.query("q", {10});
  d.event(AttemptStarted{"q/0", 0});
  d.pass(140);
  EXPECT_TRUE(d.of<SendPart>().empty());
  d.event(QueryWithdrawn{"q"});
  EXPECT_TRUE(d.of<CancelAttempt>().empty());
}

TEST(Sparse, ACopyThatFailsLeavesTheFirstAttemptToCount) {
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b"});
  teach(d, 20, 30);
  d.query("q", {10});
  std::string first = d.sent_to("q/0");
  d.pass(140);
  std::string copy = d.sent_to("q/0");
  ASSERT_FALSE(copy.empty());
  d.ended("q/0", copy, Outcome::full, 1);
  EXPECT_TRUE(d.of<RefuseQuery>().empty());
  EXPECT_TRUE(d.of<FailQuery>().empty());
  d.ended("q/0", first, Outcome::ok, 0);
  EXPECT_EQ(d.of<AnswerQuery>().size(), 1u);
}

TEST(Sparse, OnePartTurnedAwayIsNotTheEndOfAQueryOfMany) {
  // 60 parts, a third of them turned away at once: each goes on to another replica, whatever was saved for
  // moves.
  Driver d(plain_settings());
  d.servers({"a", "b", "c"});
  d.query("q", std::vector<double>(60, 10));
  auto sends = d.of<SendPart>();
  ASSERT_EQ(sends.size(), 60u);
  int again = 0;
  for (const SendPart& p : sends)
    if (p.server == "a") {
      d.ended(p.part, "a", Outcome::full);
      again += static_cast<int>(d.of<SendPart>().size());
      ASSERT_TRUE(d.of<RefuseQuery>().empty());
    }
  EXPECT_EQ(again, 20);
}

TEST(Sparse, CopiesAreSavedUpForAllPartsOfTheLargestQuery) {
  // One of three servers vanishes under a query of 60 parts: each of its 20 parts is copied, not five of
  // them.
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b", "c"});
  for (int i = 0; i < 10; ++i) {
    std::string id = "t" + std::to_string(i);
    d.query(id, std::vector<double>(60, 10));
    auto sends = d.of<SendPart>();
    d.now += 30;
    for (const SendPart& p : sends) d.ended(p.part, p.server, Outcome::ok);
  }
  d.query("q", std::vector<double>(60, 10));
  std::vector<SendPart> lost;
  for (const SendPart& p : d.of<SendPart>()) {
    if (p.server == "a") lost.push_back(p);
  }
  auto sends = d.of<SendPart>();
  d.now += 30;
  for (const SendPart& p : sends)
    if (p.server != "a") d.ended(p.part, p.server, Outcome::ok);
  d.pass(150);
  EXPECT_EQ(d.of<SendPart>().size(), lost.size());
}

TEST(Sparse, MovesOfLatePartsArePaidForByFirstAttempts) {
  // One of two servers falls silent with many parts: a few are moved, not all of them at once.
  Driver d(plain_settings());
  d.servers({"a", "b"});
  teach(d, 20, 50);
  d.query("q", std::vector<double>(40, 13));
  auto sends = d.of<SendPart>();
  ASSERT_EQ(sends.size(), 40u);
  d.now += 30;
  for (const SendPart& s : sends)
    if (s.server == "b") d.ended(s.part, s.server, Outcome::ok);
  d.pass(700);
  auto moved = d.of<CancelAttempt>();
  EXPECT_GE(moved.size(), 1u);
  EXPECT_LE(moved.size(), 5u + (20u + 40u) / 10u);
}

TEST(Health, ACutConnectionOfALivingServerCondemnsNobody) {
  // Servers go on answering right after connections broke: later breaks are cuts, and a query under which
  // several broke is neither ended nor made to wait.
  Driver d(plain_settings(5));
  d.servers({"a", "b", "c"});
  for (int i = 0; i < 6; ++i) {
    std::string id = "cut" + std::to_string(i);
    d.query(id, {100});
    std::string server = d.sent_to(id + "/0");
    ASSERT_NE(server, "");
    d.query(id + "x", {100, 100, 100});  // something out on every server
    auto others = d.of<SendPart>();
    d.now += 30;
    d.ended(id + "/0", server, Outcome::reset);
    std::string again = d.sent_to(id + "/0");
    for (const SendPart& o : others) d.ended(o.part, o.server, Outcome::ok);
    if (!again.empty()) d.ended(id + "/0", again, Outcome::ok, 1);
  }
  d.query("q", {100, 100, 100});
  auto sends = d.of<SendPart>();
  ASSERT_EQ(sends.size(), 3u);
  for (const SendPart& s : sends) {
    d.ended(s.part, s.server, Outcome::reset);
    EXPECT_EQ(d.of<RefuseQuery>().size() + d.of<FailQuery>().size(), 0u);
    EXPECT_EQ(d.of<SendPart>().size(), 1u) << s.part;
  }
}

TEST(Health, AServerThatSwallowsOneClassIsAvoidedForThatClassOnly) {
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

}  // namespace
}  // namespace pewterrill::testing
