// Coordinator, tested through its public interface: the choice of replicas, and answers.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "tests/aggregator/decision/driver.hpp"

namespace winchhall::testing {
namespace {

TEST(Choice, PlacesPartsByDescendingCostOnTheLeastLoadedServer) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10, 70, 40, 25});
  auto sends = d.actions_of<SendPart>();
  ASSERT_EQ(sends.size(), 4u);
  // 70 goes to one server; 40, 25 (65) and then 10 (65 against 70) go to the other.
  std::string big = d.sent_to("q/1"), other = big == "a" ? "b" : "a";
  EXPECT_EQ(d.sent_to("q/2"), other);
  EXPECT_EQ(d.sent_to("q/3"), other);
  EXPECT_EQ(d.sent_to("q/0"), other);
}

TEST(Choice, BreaksTiesAtRandomFromTheSeed) {
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

TEST(Choice, OutstandingCostIsRemovedWhenAnAttemptEnds) {
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

TEST(Choice, ReportedQueueCountsAtTheMeanCostEstimateUntilTheNextReport) {
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

TEST(Choice, UsesReportedPartsInFlightWhereNoQueueIsReported) {
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

TEST(Choice, SendsOnlyToReplicasOfTheShard) {
  Settings s = plain_settings();
  s.cells = 4;
  s.cells_per_shard = 2;
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

TEST(Choice, InvalidCostEstimatesAndReportsAreIgnored) {
  Settings s = plain_settings();
  s.reports = true;
  s.report_fields = {ReportField::queued};
  Driver d(s);
  d.servers({"a", "b"});
  const double inf = std::numeric_limits<double>::infinity();
  d.query("q", {std::nan(""), inf, -5, 0, 10});
  ASSERT_EQ(d.actions_of<SendPart>().size(), 5u);
  auto sends = d.actions_of<SendPart>();
  for (auto& send : sends) d.ended(send.part, send.server, Outcome::ok, 0, {std::nan("")});
  d.query("r", {10});
  std::string first = d.sent_to("r/0");
  d.ended("r/0", first, Outcome::ok, 0, {-inf});
  d.query("s", {10, 10});
  EXPECT_NE(d.sent_to("s/0"), d.sent_to("s/1"));
}

TEST(Answer, OneCompleteAnswerWhenAllPartsHaveSucceeded) {
  Driver d(plain_settings());
  d.servers({"a", "b"});
  d.query("q", {10, 10});
  std::string s0 = d.sent_to("q/0"), s1 = d.sent_to("q/1");
  d.ended("q/0", s0, Outcome::ok);
  EXPECT_TRUE(d.actions_of<AnswerQuery>().empty());
  d.ended("q/0", s0, Outcome::ok);  // a repeated outcome counts once
  EXPECT_TRUE(d.actions_of<AnswerQuery>().empty());
  d.ended("q/1", s1, Outcome::ok);
  ASSERT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.actions_of<AnswerQuery>()[0].complete);
  d.advance(4000);
  EXPECT_TRUE(d.actions_of<AnswerQuery>().empty() && d.actions_of<FailQuery>().empty() &&
              d.actions_of<SendPart>().empty());
}

// Clients round weights: 186 parts of 0.005376 sum to 0.999936. All of them together are the complete answer,
// and such a query must not be rejected or failed on arrival because of the missing rest.
TEST(Answer, CompleteThoughRoundedWeightsSumToLessThanOne) {
  constexpr int kParts = 186;
  constexpr double kRounded = 0.005376;  // 1/186 to six places
  Driver d(plain_settings());
  d.servers({"a", "b", "c"});
  QueryArrived q;
  q.query = "q";
  q.give_up_at = d.now + 3000;
  for (int i = 0; i < kParts; ++i) q.parts.push_back({"q/" + std::to_string(i), 0, kRounded, 10.0});
  d.event(q);
  EXPECT_TRUE(d.actions_of<RefuseQuery>().empty() && d.actions_of<FailQuery>().empty());
  ASSERT_EQ(d.actions_of<SendPart>().size(), static_cast<std::size_t>(kParts));
  std::vector<SendPart> sends = d.actions_of<SendPart>();
  std::size_t answers = 0;
  for (const SendPart& s : sends) {
    d.ended(s.part, s.server, Outcome::ok);
    EXPECT_TRUE(d.actions_of<RefuseQuery>().empty() && d.actions_of<FailQuery>().empty());
    answers += d.actions_of<AnswerQuery>().size();
    if (&s != &sends.back()) {
      EXPECT_EQ(answers, 0u);  // not complete before the last part
    }
  }
  ASSERT_EQ(answers, 1u);
  EXPECT_TRUE(d.actions_of<AnswerQuery>()[0].complete);
}

TEST(Answer, QueryWithoutServersEndsInTime) {
  Driver d(plain_settings());
  d.query("q", {10});
  d.advance(1000);
  EXPECT_EQ(d.actions_of<FailQuery>().size() + d.actions_of<RefuseQuery>().size(), 1u);
}

TEST(Answer, EnoughPartsMakeACompleteAnswerAndSparesReplaceFailedOnes) {
  Settings s = plain_settings();
  s.classes[0].complete_share = s.classes[0].min_share = 0.5;
  Driver d(s);
  d.servers({"a", "b"});
  d.query("q", {10, 10, 10, 10});
  auto sends = d.actions_of<SendPart>();
  ASSERT_EQ(sends.size(), 2u);
  d.ended(sends[0].part, sends[0].server, Outcome::ok);
  d.ended(sends[1].part, sends[1].server, Outcome::error);
  ASSERT_EQ(d.actions_of<SendPart>().size(), 1u);
  auto again = d.actions_of<SendPart>()[0];
  d.ended(again.part, again.server, Outcome::ok, again.part == sends[1].part ? 1 : 0);
  ASSERT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.actions_of<AnswerQuery>()[0].complete);
}

TEST(Answer, PartialAnswerNearTheTargetHasTheMinimumShareAndIsNotMarkedComplete) {
  Settings s = plain_settings();
  s.classes[0].min_share = 0.5;
  s.classes[0].partial_value = 0.9;
  for (int in = 0; in < 4; ++in) {
    Driver d(s);
    d.servers({"a", "b"});
    d.query("q", {10, 10, 10, 10});
    auto sends = d.actions_of<SendPart>();
    ASSERT_EQ(sends.size(), 4u);
    for (int i = 0; i < in; ++i) d.ended(sends[i].part, sends[i].server, Outcome::ok);
    d.advance(1000);
    ASSERT_EQ(d.actions_of<AnswerQuery>().size(), in >= 2 ? 1u : 0u) << in;
    if (in >= 2) {
      EXPECT_FALSE(d.actions_of<AnswerQuery>()[0].complete);
    } else {
      EXPECT_EQ(d.actions_of<FailQuery>().size() + d.actions_of<RefuseQuery>().size(), 1u);
    }
  }
}

TEST(Answer, SecondStepIsAwaitedAndNeedsAllItsParts) {
  Settings s = plain_settings();
  s.classes[0].second_step_parts = 1;
  Driver d(s);
  d.servers({"a"});
  d.query("q", {10});
  d.ended("q/0", "a", Outcome::ok);
  ASSERT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
  d.event(PartsAdded{"q", {{"q/x", 0, 1.0, 5.0}}});
  ASSERT_EQ(d.sent_to("q/x"), "a");
  d.ended("q/x", "a", Outcome::ok);
  ASSERT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.actions_of<AnswerQuery>()[0].complete);
}

}  // namespace
}  // namespace winchhall::testing
