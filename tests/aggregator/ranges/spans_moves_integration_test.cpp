// Queries over spans on the request router alone, while ranges split, merge and change their holders. The
// cases are those that docs/ranges.md describes.
#include "aggregator/ranges/change.hpp"
#include "tests/aggregator/ranges/spans_fixture.hpp"
#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;
using coordination::Outcome;
using coordination::QueryResult;

TEST_CASE("spans are divided into parts by the map, and rows name interval and revision") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 5000, {{50, 250}});
  REQUIRE(d.in_flight.size() == 3);
  for (const auto& [n, order] : std::map(d.in_flight)) d.end_attempt(n, Outcome::ok, text_of(order.span));
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].complete);
  CHECK(d.results[0].share == 1);
  REQUIRE(d.results[0].rows.size() == 3);
  CHECK(d.results[0].rows[0].span == Span{50, 100});
  CHECK(d.results[0].rows[2].span == Span{200, 250});
  CHECK(d.results[0].rows[1].revision == Revision{1, 5});
  CHECK(d.results[0].rows[1].values[0] == "[100, 200)");
}

TEST_CASE("without a map a query is refused at once with the reason") {
  RouterFixture d;
  d.submit_spans(0, 5000, {{50, 250}});
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind == QueryResult::Kind::refused);
  CHECK(d.results[0].retry_after > 0);
  CHECK(d.results[0].why.find("no map") != std::string::npos);
  CHECK(d.result_at == d.now);
  CHECK(d.router.open_queries() == 0);
}

TEST_CASE("a range is split while its part is in flight: the answer counts, under the old revision") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 5000, {{0, 100}});
  auto first = d.attempt_for({0, 100});
  d.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
  CHECK(d.in_flight.size() == 1);  // no further attempt is sent
  CHECK(d.router.range_migrations().on_hold == 1);
  d.end_attempt(first, Outcome::ok, "all of it");
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].complete);
  REQUIRE(d.results[0].rows.size() == 1);
  CHECK(d.results[0].rows[0].revision == Revision{1, 5});
}

TEST_CASE("an attempt fails after the split: the successors are requested, with the remaining attempts") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  d.end_attempt(d.attempt_for({0, 100}), Outcome::error);  // 1
  d.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
  d.end_attempt(d.attempt_for({0, 100}), Outcome::error);  // 2
  REQUIRE(d.has_attempt_for({0, 40}));
  REQUIRE(d.has_attempt_for({40, 100}));
  // Split again while the successors are in flight.
  RangeMap twice = apply_changes(four_ranges(), {kSplitFirstRange, Split{{4, 0}, 10, 6, 7, 1, 1}});
  d.update_ranges(twice);
  SUBCASE("both are answered") {
    d.end_attempt(d.attempt_for({0, 40}), Outcome::ok);
    d.end_attempt(d.attempt_for({40, 100}), Outcome::ok);
    REQUIRE(d.results.size() == 1);
    CHECK(d.results[0].complete);
    CHECK(d.results[0].rows.size() == 2);
  }
  SUBCASE("one fails: there is no fourth attempt, however the range is split") {
    d.end_attempt(d.attempt_for({0, 40}), Outcome::error);  // 3
    CHECK_FALSE(d.has_attempt_for({0, 10}));
    CHECK_FALSE(d.has_attempt_for({10, 40}));
    REQUIRE(d.results.size() == 1);
    CHECK(d.results[0].kind != QueryResult::Kind::answered);
  }
}

TEST_CASE("a late answer for a split range that arrives after one of a successor is not in the result") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  auto parent = d.attempt_for({0, 100});
  d.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
  d.advance(1500);  // its time-out has passed
  REQUIRE(d.has_attempt_for({0, 40}));
  d.end_attempt(d.attempt_for({0, 40}), Outcome::ok, "child");
  d.end_attempt(parent, Outcome::ok, "late parent");
  CHECK(d.results.empty());
  auto child = d.attempt_for({40, 100});
  d.end_attempt(child, Outcome::ok, "child");
  d.end_attempt(child, Outcome::ok, "again");
  REQUIRE(d.results.size() == 1);
  REQUIRE(d.results[0].rows.size() == 2);
  for (const auto& row : d.results[0].rows) CHECK(row.values == std::vector<std::string>{"child"});
}

TEST_CASE(
    "two ranges are merged while parts are in flight: a failed part goes to the merged range's holders") {
  RouterFixture d;
  RangeMap map = four_ranges();
  d.update_ranges(map);
  d.submit_spans(0, 20000, {{0, 200}});
  d.update_ranges(apply_change(map, Merge{{0, 0}, {1, 100}, 4, {{"b", Role::serving}}}));
  CHECK(d.in_flight.size() == 2);
  auto left = d.attempt_for({0, 100});
  d.end_attempt(left, Outcome::error);
  CHECK(d.in_flight.at(d.attempt_for({0, 100})).server == "b");
  d.end_attempt(d.attempt_for({0, 100}), Outcome::ok);
  d.end_attempt(d.attempt_for({100, 200}), Outcome::ok);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].complete);
}

TEST_CASE("split, merge and split of one range within one query") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  RangeMap map = four_ranges();
  for (const Change& c :
       std::vector<Change>{kSplitFirstRange, Merge{{4, 0}, {5, 40}, 6, {}}, Split{{6, 0}, 70, 7, 8, 1, 1}}) {
    map = apply_change(map, c);
    d.update_ranges(map);
  }
  d.end_attempt(d.attempt_for({0, 100}), Outcome::reset);
  d.end_attempt(d.attempt_for({0, 70}), Outcome::ok);
  d.end_attempt(d.attempt_for({70, 100}), Outcome::ok);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].complete);
}

TEST_CASE("a split that is merged back before the attempt ends does not affect the part") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  RangeMap map = apply_change(four_ranges(), kSplitFirstRange);
  d.update_ranges(map);
  d.update_ranges(apply_change(map, Merge{{4, 0}, {5, 40}, 6, {}}));
  d.end_attempt(d.attempt_for({0, 100}), Outcome::error);
  d.end_attempt(d.attempt_for({0, 100}), Outcome::ok);
  REQUIRE(d.results.size() == 1);
}

TEST_CASE(
    "a move leaves one holder, which does not answer: one result in time, and no other node is requested") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 1500, {{0, 100}});
  auto first = d.attempt_for({0, 100});
  std::string was = d.in_flight.at(first).server, other = was == "a" ? "b" : "a";
  d.update_ranges(apply_change(four_ranges(), Remove{{0, 0}, was}));
  d.end_attempt(first, Outcome::connect_failed);
  CHECK(d.in_flight.at(d.attempt_for({0, 100})).server == other);
  std::size_t asked = 0;
  for (int i = 0; i < 400; ++i) {
    d.advance(5);
    for (const auto& [n, order] : d.in_flight) {
      CHECK(order.server == other);
      asked = std::max<std::size_t>(asked, n);
    }
  }
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind != QueryResult::Kind::answered);
  CHECK(d.result_at < 1000 + 1500);
}

TEST_CASE("the only remaining holder has just started: it is not overloaded") {
  winchhall::Settings s = two_classes();
  s.warm_up_time = 10000;
  s.warm_up_initial_share = 0.25;
  s.overload_multiple = 4;
  s.overload_time = 1000;
  RouterFixture d(s);
  d.advance(1200);  // what other processes sent before this one's start has ended by then
  coordination::Member cold = member("c", 3, 0);
  cold.entry.started = d.now;
  d.router.update_endpoints(winchhall::ServerList::Kind::changes, {cold});
  d.router.run();
  std::string why;
  RangeMap map = *RangeMap::build({1, 5}, {{0, {0, kKeyEnd}, 1, serving_holders({"c"})}}, why);
  d.update_ranges(map);
  for (int i = 0; i < 40; ++i)
    d.router.submit(
        {.id = "w" + std::to_string(i), .give_up_at = d.now + 8000, .spans = {{0, 100}}, .hint = 100.0},
        [](QueryResult) {});
  d.router.run();
  // 4 x a quarter of a core for a second, less the reserve: at most 800 ms of work.
  CHECK(d.in_flight.size() <= 8);
  CHECK(d.in_flight.size() >= 1);
}

TEST_CASE("a query is answered at its minimum share, by the weights of its plan when weights change") {
  RouterFixture d;  // class 1: floor 0.5
  std::string why;
  RangeMap map = *RangeMap::build({1, 1},
                                  {{0, {0, 100}, 6, serving_holders({"a", "b"})},
                                   {1, {100, 200}, 4, serving_holders({"a", "b"})},
                                   {2, {200, kKeyEnd}, 1, serving_holders({"a", "b"})}},
                                  why);
  d.update_ranges(map);
  d.submit_spans(1, 6000, {{0, 200}});
  REQUIRE(d.in_flight.size() == 2);
  // The first range gets a small weight and is split; the shares of the query stay the same.
  d.update_ranges(apply_changes(map, {SetWeight{{0, 0}, 0.1}, Split{{0, 0}, 50, 3, 4, 0.05, 0.05}}));
  d.end_attempt(d.attempt_for({100, 200}), Outcome::ok);
  d.advance(400);  // past the latency objective, with 40%
  CHECK(d.results.empty());
  // The unresponsive node was abandoned for the successors' holders.
  d.end_attempt(d.attempt_for({0, 50}), Outcome::ok);
  d.advance(50);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind == QueryResult::Kind::answered);
  CHECK_FALSE(d.results[0].complete);
  CHECK(d.results[0].share == doctest::Approx(0.7));
}
