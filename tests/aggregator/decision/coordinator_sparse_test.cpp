// Coordinator, tested through its public interface: instances that see little of the traffic, hedged attempts
// and retries of late parts.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/aggregator/decision/driver.hpp"
#include "tests/aggregator/support/router_setup.hpp"

namespace winchhall::testing {
namespace {

// ---- Many instances, each with a small share of the traffic

TEST(Sparse, ServerWithoutAReportCountsAsThePoolsMean) {
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
  // One replica of shard 0 reports a short queue; the only other server with reports, of another shard, sends
  // many with long queues.
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

TEST(Sparse, WarmUpAllowanceBelowOnePartIsKeptOnAverage) {
  // 50 instances and one warming server: together they send about the allowance, and none sends two parts
  // within one interval.
  Settings s = plain_settings();
  s.instances = 50;
  double sent = 0;
  int most = 0;
  for (int instance = 0; instance < s.instances; ++instance) {
    Driver d(s, 1000 + static_cast<std::uint64_t>(instance));
    d.now = 2000;  // past the first `overload_time` of the instance itself
    ServerEntry warming = Driver::entry("warming");
    warming.started = d.now;
    d.event(ServerList{ServerList::Kind::complete, {warming}});
    int mine = 0;
    for (int i = 0; i < 19; ++i) {
      d.query("q" + std::to_string(i), {100});
      mine += static_cast<int>(d.actions_of<SendPart>().size());
      d.now += 50;
    }
    sent += mine * 100;
    most = std::max(most, mine);
  }
  EXPECT_EQ(most, 1);
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent,
            2 * 0.25 * 1000 * 2);  // multiple x initial share x interval, for the two cores of such servers
}

TEST(Sparse, ListRequestsAfterACommonFailureAreSpreadByTheNumberOfInstances) {
  // 100 instances lose their watch at the same time, and each request for a new one fails after 2 s. In no
  // second more than half of them may send a request, and within 12 s each must have sent one.
  Settings s = plain_settings();
  s.instances = 100;
  s.list_on_request = true;
  s.max_poll_interval = 10000;
  std::vector<int> calls(60);
  for (int instance = 0; instance < s.instances; ++instance) {
    Driver d(s, 500 + static_cast<std::uint64_t>(instance));
    d.servers({"a"});
    d.now = 1000;
    d.event(ServerList{ServerList::Kind::failed, {}});
    Millis fails_at = 0;
    int requests = 0;
    while (d.now < 30000) {
      d.advance(10);
      if (!d.actions_of<WatchList>().empty()) {
        ++calls[static_cast<std::size_t>(d.now / 1000)];
        fails_at = d.now + 2000;
        ++requests;
      } else if (fails_at > 0 && d.now >= fails_at) {
        fails_at = 0;
        d.event(ServerList{ServerList::Kind::failed, {}});
      }
      if (d.now >= 13000 && requests == 0) ADD_FAILURE() << "instance " << instance << " sent no request";
    }
  }
  for (std::size_t second = 0; second < calls.size(); ++second) EXPECT_LE(calls[second], 50) << second;
  int later = 0;  // after each has failed a few times
  for (std::size_t second = 15; second < 30; ++second) later += calls[second];
  EXPECT_LE(later, 15 * 20);
  EXPECT_GE(later, 15 * 5);
}

TEST(Sparse, LatePartIsHedgedAndTheFirstAnswerCounts) {
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b", "c"});
  train_estimates(d, 20, 30);
  d.query("q", {10});
  auto first = d.actions_of<SendPart>();
  ASSERT_EQ(first.size(), 1u);
  d.advance(20);
  EXPECT_TRUE(d.actions_of<SendPart>().empty()) << "not late yet";
  d.advance(40);
  auto hedges = d.actions_of<SendPart>();
  ASSERT_EQ(hedges.size(), 1u);
  EXPECT_TRUE(d.actions_of<CancelAttempt>().empty()) << "the first attempt may still be the faster one";
  EXPECT_NE(hedges[0].server, first[0].server);
  d.ended("q/0", hedges[0].server, Outcome::ok, 1);
  ASSERT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
  EXPECT_TRUE(d.actions_of<AnswerQuery>()[0].complete);
  auto cancelled = d.actions_of<CancelAttempt>();
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, 0);
  d.ended("q/0", first[0].server, Outcome::ok, 0);
  EXPECT_TRUE(d.actions_of<AnswerQuery>().empty()) << "one final answer";
}

TEST(Sparse, StreamingAttemptIsNeitherHedgedNorCancelled) {
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b"});
  train_estimates(d, 20, 30);
  d.query("q", {10});
  d.event(AttemptStarted{"q/0", 0});
  d.advance(140);
  EXPECT_TRUE(d.actions_of<SendPart>().empty());
  d.event(QueryWithdrawn{"q"});
  EXPECT_TRUE(d.actions_of<CancelAttempt>().empty());
}

TEST(Sparse, FailedHedgeLeavesTheFirstAttempt) {
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b"});
  train_estimates(d, 20, 30);
  d.query("q", {10});
  std::string first = d.sent_to("q/0");
  d.advance(140);
  std::string hedge = d.sent_to("q/0");
  ASSERT_FALSE(hedge.empty());
  d.ended("q/0", hedge, Outcome::full, 1);
  EXPECT_TRUE(d.actions_of<RefuseQuery>().empty());
  EXPECT_TRUE(d.actions_of<FailQuery>().empty());
  d.ended("q/0", first, Outcome::ok, 0);
  EXPECT_EQ(d.actions_of<AnswerQuery>().size(), 1u);
}

TEST(Sparse, RejectedPartsOfALargeQueryAreRetried) {
  // 60 parts, a third of them rejected for lack of capacity: each is retried at another replica,
  // independently of the tokens for late retries.
  Driver d(plain_settings());
  d.servers({"a", "b", "c"});
  d.query("q", std::vector<double>(60, 10));
  auto sends = d.actions_of<SendPart>();
  ASSERT_EQ(sends.size(), 60u);
  int again = 0;
  for (const SendPart& p : sends)
    if (p.server == "a") {
      d.ended(p.part, "a", Outcome::full);
      again += static_cast<int>(d.actions_of<SendPart>().size());
      ASSERT_TRUE(d.actions_of<RefuseQuery>().empty());
    }
  EXPECT_EQ(again, 20);
}

TEST(Sparse, HedgeTokensSufficeForAllPartsOfTheLargestQuery) {
  // One of three servers stops answering during a query of 60 parts: each of its 20 parts is hedged, not only
  // five of them.
  Settings s = plain_settings();
  s.may_hedge = true;
  Driver d(s);
  d.servers({"a", "b", "c"});
  for (int i = 0; i < 10; ++i) {
    std::string id = "t" + std::to_string(i);
    d.query(id, std::vector<double>(60, 10));
    auto sends = d.actions_of<SendPart>();
    d.now += 30;
    for (const SendPart& p : sends) d.ended(p.part, p.server, Outcome::ok);
  }
  d.query("q", std::vector<double>(60, 10));
  std::vector<SendPart> lost;
  for (const SendPart& p : d.actions_of<SendPart>()) {
    if (p.server == "a") lost.push_back(p);
  }
  auto sends = d.actions_of<SendPart>();
  d.now += 30;
  for (const SendPart& p : sends)
    if (p.server != "a") d.ended(p.part, p.server, Outcome::ok);
  d.advance(150);
  EXPECT_EQ(d.actions_of<SendPart>().size(), lost.size());
}

TEST(Sparse, RetriesOfLatePartsAreLimitedByFirstAttempts) {
  // One of two servers stops answering with many parts: a few are retried elsewhere, not all of them at once.
  Driver d(plain_settings());
  d.servers({"a", "b"});
  train_estimates(d, 20, 50);
  d.query("q", std::vector<double>(40, 13));
  auto sends = d.actions_of<SendPart>();
  ASSERT_EQ(sends.size(), 40u);
  d.now += 30;
  for (const SendPart& s : sends)
    if (s.server == "b") d.ended(s.part, s.server, Outcome::ok);
  d.advance(700);
  auto cancelled = d.actions_of<CancelAttempt>();
  EXPECT_GE(cancelled.size(), 1u);
  EXPECT_LE(cancelled.size(), 5u + (20u + 40u) / 10u);
}

}  // namespace
}  // namespace winchhall::testing
