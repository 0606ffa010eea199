// Queries over spans on the request router alone, when nodes deny parts ("not mine") and maps arrive late.
// The cases are those that docs/ranges.md describes.
#include "aggregator/ranges/change.hpp"
#include "tests/aggregator/ranges/spans_fixture.hpp"
#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;
using coordination::Outcome;
using coordination::QueryResult;

TEST_CASE("if every attempt is denied, the query is refused after three attempts") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  int attempts = 0;
  for (int i = 0; i < 100 && d.results.empty(); ++i) {
    while (!d.in_flight.empty()) {
      ++attempts;
      d.deny(d.in_flight.begin()->first, {{1, 4}, {}});
    }
    d.advance(50);
  }
  CHECK(attempts == 3);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind == QueryResult::Kind::refused);
  CHECK(d.results[0].retry_after > 0);
  CHECK(d.router.range_migrations().denied == 3);
}

TEST_CASE("the only holder denies with an older map: it is requested again after a delay") {
  RouterFixture d;
  std::string why;
  d.update_ranges(*RangeMap::build({1, 5}, {{0, {0, kKeyEnd}, 1, serving_holders({"a"})}}, why));
  d.submit_spans(0, 20000, {{0, 100}});
  d.deny(d.in_flight.begin()->first, {{1, 4}, {}});
  CHECK(d.in_flight.empty());  // the only holder is not requested again at once
  CHECK(d.refreshed == 0);
  d.advance(120);
  CHECK(d.in_flight.size() == 1);
}

TEST_CASE(
    "a node denies with a newer map: the directory is refreshed, and no attempt is made before its update") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  d.deny(d.attempt_for({0, 100}), {{1, 6}, {}});
  CHECK(d.refreshed == 1);
  CHECK(d.in_flight.empty());
  SUBCASE("the update arrives") {
    d.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
    CHECK(d.has_attempt_for({0, 40}));
    CHECK(d.has_attempt_for({40, 100}));
  }
  SUBCASE("no update arrives: after a delay the other holder of the old map is requested") {
    d.advance(100);
    CHECK(d.in_flight.empty());
    d.advance(100);
    CHECK(d.has_attempt_for({0, 100}));
  }
}

TEST_CASE("a denial with successors: they are requested at once if they cover the part") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  auto part = d.attempt_for({0, 100});
  SUBCASE("covering") {
    d.deny(part, {{1, 6},
                  {{{0, 30}, 8, {}, serving_holders({"a"}), 0, {}},
                   {{30, 100}, 9, {}, serving_holders({"b"}), 0, {}}}});
    CHECK(d.in_flight.at(d.attempt_for({0, 30})).server == "a");
    CHECK(d.in_flight.at(d.attempt_for({30, 100})).server == "b");
    CHECK(d.in_flight.at(d.attempt_for({30, 100})).revision == Revision{1, 6});
  }
  SUBCASE("another holder of the same keys") {
    std::string other = d.in_flight.at(part).server == "a" ? "b" : "a";
    d.deny(part, {{1, 6}, {{{0, 100}, 8, {}, serving_holders({other}), 0, {}}}});
    CHECK(d.in_flight.at(d.attempt_for({0, 100})).server == other);
  }
  SUBCASE("with a gap") {
    d.deny(part, {{1, 6},
                  {{{0, 30}, 8, {}, serving_holders({"a"}), 0, {}},
                   {{40, 100}, 9, {}, serving_holders({"b"}), 0, {}}}});
    CHECK(d.in_flight.empty());
    CHECK(d.refreshed == 1);
  }
  SUBCASE("of the same revision as the map: the directory takes precedence") {
    d.deny(part, {{1, 5}, {{{0, 100}, 8, {}, serving_holders({"zz"}), 0, {}}}});
    CHECK(d.refreshed == 1);
    CHECK(d.has_attempt_for({0, 100}));
  }
}

TEST_CASE("a part whose range was split in flight is denied: the successors are requested") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  d.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
  d.deny(d.attempt_for({0, 100}), {{1, 6}, {}});
  CHECK_FALSE(d.has_attempt_for({0, 100}));
  CHECK(d.has_attempt_for({0, 40}));
  CHECK(d.has_attempt_for({40, 100}));
}

TEST_CASE("one holder denies with an older map and the other answers: the query is complete") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  d.submit_spans(0, 20000, {{0, 100}});
  d.deny(d.attempt_for({0, 100}), {{1, 3}, {}});
  d.end_attempt(d.attempt_for({0, 100}), Outcome::ok);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].complete);
}

TEST_CASE(
    "a part of negligible weight is requested like any other, and the query is not complete without it") {
  RouterFixture d;
  std::string why;
  d.update_ranges(*RangeMap::build({1, 1},
                                   {{0, {0, 1'000'000}, 1, serving_holders({"a", "b"})},
                                    {1, {1'000'000, kKeyEnd}, 1e-9, serving_holders({"a", "b"})}},
                                   why));
  d.submit_spans(0, 5000, {{0, 1'000'010}});
  REQUIRE(d.in_flight.size() == 2);  // also the part of negligible weight
  d.end_attempt(d.attempt_for({0, 1'000'000}), Outcome::ok);
  CHECK(d.results.empty());
  d.end_attempt(d.attempt_for({1'000'000, 1'000'010}), Outcome::ok);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].complete);
}

TEST_CASE("a map update and a new query in the same turn of the router, in either order") {
  RouterFixture d;
  d.update_ranges(four_ranges());
  bool map_first = false;
  SUBCASE("the query first") {}
  SUBCASE("the map first") { map_first = true; }
  if (map_first) d.router.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
  d.router.submit({.id = "x", .give_up_at = d.now + 5000, .spans = {{0, 100}}},
                  [&](QueryResult v) { d.results.push_back(v); });
  if (!map_first) d.router.update_ranges(apply_change(four_ranges(), kSplitFirstRange));
  d.router.run();
  // Never overlapping attempts, and never more than three attempts for an account.
  int at_zero = 0;
  for (int round = 0; round < 4 && d.results.empty(); ++round) {
    SpanSet out;
    for (const auto& [n, order] : d.in_flight) {
      CHECK_FALSE(out.overlaps(order.span));
      out.add(order.span);
      at_zero += order.span.contains(0);
    }
    if (round == 0) CHECK(out.contains({0, 100}));
    for (const auto& [n, order] : std::map(d.in_flight)) d.end_attempt(n, Outcome::error);
    d.advance(600);
  }
  CHECK(at_zero <= 3);
  REQUIRE(d.results.size() == 1);
  CHECK(d.results[0].kind != QueryResult::Kind::answered);
  CHECK(d.router.range_migrations().dropped == 0);
}

TEST_CASE("many changes during many queries: one result each, every account at most once, no state left") {
  RouterFixture d;
  RangeMap map = four_ranges();
  d.update_ranges(map);
  std::uint64_t random_state = 42;
  auto below = [&](std::uint64_t n) {  // Knuth's MMIX constants
    random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
    return (random_state >> 33) % n;
  };
  for (int round = 0; round < 600; ++round) {
    if (d.router.open_queries() < 6) d.submit_spans(0, 4000, {{below(150), 151 + below(149)}});
    RangeView p = map.find(below(300));
    if (below(2) == 0 && p.span.size() > 4 && p.span.to <= 300)
      map = apply_change(
          map,
          Split{
              {p.id, p.span.from}, p.span.from + p.span.size() / 2, map.next_id(), map.next_id() + 1, 1, 1});
    else if (p.span.to < 300)
      map = apply_change(map,
                         Merge{{p.id, p.span.from}, {map.find(p.span.to).id, p.span.to}, map.next_id(), {}});
    d.update_ranges(map);
    for (const auto& [n, order] : std::map(d.in_flight)) {
      std::uint64_t what = below(8);
      if (what < 3) d.end_attempt(n, Outcome::ok, text_of(order.span));
      if (what == 3) d.end_attempt(n, Outcome::error);
      if (what == 4) d.deny(n, {map.revision(), {}});
    }
    d.advance(10);
  }
  d.advance(6000);
  CHECK(d.results.size() == static_cast<std::size_t>(d.query_count));
  CHECK(d.router.open_queries() == 0);
  CHECK(d.router.attempts_in_flight() == 0);
  std::size_t complete = 0;
  for (const QueryResult& v : d.results) {
    SpanSet seen;
    for (const auto& row : v.rows) {
      CHECK_FALSE(seen.overlaps(row.span));
      CHECK(row.values[0] == text_of(row.span));
      seen.add(row.span);
    }
    complete += v.complete;
    if (v.complete) CHECK(seen.spans().size() == 1);
  }
  CHECK(complete > d.results.size() / 4);
}
