// RequestRouter by itself, without a protocol, on a clock that the test sets.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <malloc.h>

#include <map>

#include "aggregator/coordination/request_router.hpp"
#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using coordination::Outcome;
using coordination::QueryResult;
using testing::RouterFixture;

TEST_CASE("unresponsive servers: one final result before the client's deadline") {
  RouterFixture d;
  d.submit(0, 800);
  d.advance(3000);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind != QueryResult::Kind::answered);
  CHECK(d.result_at < 1800);
  CHECK(d.router.attempts_in_flight() == 0);
  CHECK(d.in_flight.empty());
}

TEST_CASE("an answer that arrives after its attempt was abandoned is not in the result") {
  RouterFixture d;
  d.submit(0, 2000, 1);
  auto first = d.in_flight.begin()->first;
  d.advance(1500);  // it is late: retried under a new attempt number
  REQUIRE(!d.in_flight.empty());
  CHECK(d.in_flight.count(first) == 0);
  d.end_attempt(first, Outcome::ok, "late");
  CHECK(d.results.empty());
  d.end_attempt(d.in_flight.begin()->first, Outcome::ok, "second");
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].rows[0].values == std::vector<std::string>{"second"});
}

TEST_CASE("a partial answer has at least the minimum share and is not marked complete") {
  RouterFixture d;
  d.submit(1, 6000);
  REQUIRE(d.in_flight.size() == 4);
  auto parts = d.in_flight;
  auto it = parts.begin();
  for (int i = 0; i < 3; ++i) d.end_attempt((it++)->first, Outcome::ok);
  d.advance(200);
  CHECK(d.results.empty());
  d.advance(200);  // the latency target has passed
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind == QueryResult::Kind::answered);
  CHECK(!d.results[0].complete);
  CHECK(d.results[0].share == doctest::Approx(0.75));
  CHECK(d.results[0].rows.size() == 3);
  CHECK(d.abandoned >= 1);
  CHECK(d.router.attempts_in_flight() == 0);
}

TEST_CASE("parts go to the server that reports less load") {
  RouterFixture d;
  d.submit(0, 5000, 2);  // a part for each of the two servers
  REQUIRE(d.in_flight.size() == 2);
  for (const auto& [n, order] : std::map(d.in_flight)) {
    coordination::AttemptResult r{.values = {"v"}, .load = {.in_flight = order.server == "a" ? 40.0 : 0.5}};
    d.router.attempt_ended(n, r);
    d.router.run();
  }
  d.in_flight.clear();
  for (int i = 0; i < 5; ++i) d.submit(0, 5000, 2);
  CHECK(d.in_flight.size() == 10);
  for (const auto& [n, order] : d.in_flight) CHECK(order.server == "b");
}

TEST_CASE("capacities of servers count only where Settings::weights_count is set") {
  for (bool count : {false, true}) {
    winchhall::Settings settings = testing::two_classes();
    settings.weights_count = count;
    RouterFixture d(settings);
    coordination::Member heavy = testing::member("a", 1, 0);
    heavy.entry.size = 4;
    d.router.update_endpoints(winchhall::ServerList::Kind::changes, {heavy});
    for (int i = 0; i < 20; ++i) d.submit(0, 5000, 2);
    std::size_t to_heavy = 0;
    for (const auto& [n, order] : d.in_flight) to_heavy += order.server == "a";
    REQUIRE(d.in_flight.size() == 40);
    CHECK(to_heavy == (count ? 32 : 20));
  }
}

// A state saved between the arrival of a list and its processing must not name a revision that its members
// don't have yet.
TEST_CASE("the list's revision changes together with its members") {
  RouterFixture d;
  const std::size_t before = d.router.members().size();
  d.router.update_endpoints(winchhall::ServerList::Kind::changes, {testing::member("c", 1, 0)},
                            winchhall::CallEnd::failed, 9);
  CHECK(d.router.list_revision() == 0);
  CHECK(d.router.members().size() == before);
  d.router.run();
  CHECK(d.router.list_revision() == 9);
  CHECK(d.router.members().size() == before + 1);
}

TEST_CASE("a query above max_open is refused at once, with a retry-after") {
  winchhall::Settings settings = testing::two_classes();
  settings.max_open = 5;
  RouterFixture d(settings);
  d.submit(0, 2000);
  CHECK(d.results.empty());
  d.submit(0, 2000);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind == QueryResult::Kind::refused);
  CHECK(d.results[0].retry_after == 2000);
  CHECK(d.result_at == d.now);
}

TEST_CASE("a withdrawn query leaves no attempts behind and gets no result") {
  RouterFixture d;
  d.submit(0, 2000);
  d.router.withdraw(d.last_query);
  d.router.run();
  CHECK(d.in_flight.empty());
  CHECK(d.router.attempts_in_flight() == 0);
  CHECK(d.router.open_queries() == 0);
  d.advance(3000);
  CHECK(d.results.empty());
}

TEST_CASE("memory use stays constant while servers and queries are replaced") {
  RouterFixture d;
  std::size_t before = 0;
  for (int round = 0; round < 1500; ++round) {
    // Each round all servers are new, and the previous ones have been gone for longer than their state is
    // kept.
    std::string a = "a" + std::to_string(round), b = "b" + std::to_string(round);
    d.router.update_endpoints(winchhall::ServerList::Kind::complete,
                              {testing::member(a, 1, 0), testing::member(b, 2, 1)});
    for (int i = 0; i < 10; ++i) {
      d.submit(0, 2000, 2);
      for (const auto& [n, order] : std::map(d.in_flight)) d.end_attempt(n, Outcome::ok);
      d.in_flight.clear();
    }
    d.results.clear();
    d.now += 20000;
    d.router.run();
    CHECK(d.router.known_servers() == 2);
    if (round == 300) before = mallinfo2().uordblks;
  }
  CHECK(mallinfo2().uordblks < before + 20000);  // under a sanitizer both are 0
}

TEST_CASE("the coordinator logs at a limited rate after many failures") {
  winchhall::Settings settings = testing::two_classes();
  settings.list_on_request = true;
  winchhall::Coordinator coordinator(settings, 3, 0);
  int lines = 0;
  for (int i = 0; i < 1000; ++i)
    for (const auto& action :
         coordinator.handle(i * 1000.0, winchhall::ServerList{winchhall::ServerList::Kind::failed, {}}))
      lines += std::holds_alternative<winchhall::LogLine>(action);
  CHECK(lines > 900);
  for (int i = 0; i < 1000; ++i)
    for (const auto& action :
         coordinator.handle(1e6, winchhall::ServerList{winchhall::ServerList::Kind::failed, {}}))
      lines += std::holds_alternative<winchhall::LogLine>(action);
  CHECK(lines < 1300);
}
