// Invalid maps and changes, and the replanning of queries whose ranges split, merge or move. No sockets,
// no clock.
#include <doctest/doctest.h>

#include <limits>

#include "aggregator/ranges/follower.hpp"
#include "aggregator/ranges/replan.hpp"
#include "tests/aggregator/ranges/ranges_fixture.hpp"

using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

TEST_CASE("invalid maps are rejected with the range and the reason") {
  auto ranges = even_ranges(4);
  CHECK(build_fault({}) == "no range");
  auto gap = ranges;
  gap[2].span.from += 5;
  CHECK(build_fault(gap).find("a gap before it") != std::string::npos);
  auto overlap = ranges;
  overlap[1].span.to += 5;
  CHECK(build_fault(overlap).find("overlaps") != std::string::npos);
  auto missing_end = ranges;
  missing_end.pop_back();
  CHECK(build_fault(missing_end).find("the map ends there") != std::string::npos);
  auto late_start = ranges;
  late_start.erase(late_start.begin());
  CHECK(build_fault(late_start).find("a gap before it, from 0") != std::string::npos);
  auto duplicate_id = ranges;
  duplicate_id[3].id = duplicate_id[0].id;
  CHECK(build_fault(duplicate_id).find("an id that another range has") != std::string::npos);
  auto no_serving_holder = ranges;
  no_serving_holder[1].holders =
      std::make_shared<const Holders>(Holders{{"a", Role::copying}, {"b", Role::leaving}});
  CHECK(build_fault(no_serving_holder).find("no serving holder") != std::string::npos);
  auto duplicate_holder = ranges;
  duplicate_holder[1].holders = serving_holders({"a", "a"});
  CHECK(build_fault(duplicate_holder).find("holder a twice") != std::string::npos);
  for (double w :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    auto invalid_weight = ranges;
    invalid_weight[0].weight = w;
    CHECK(build_fault(invalid_weight).find("a weight") != std::string::npos);
  }
  auto beyond_end = ranges;
  beyond_end[3].span.to = kKeyEnd + 1;
  CHECK(build_fault(beyond_end).find("not within") != std::string::npos);
}

TEST_CASE("impossible changes are rejected with the reason") {
  RangeMap map = small_map();
  CHECK(rejection_of(map, Split{{0, 0}, 100, 10, 11, 1, 1}).find("not inside") != std::string::npos);
  CHECK(rejection_of(map, Split{{0, 0}, 50, 10, 10, 1, 1}).find("both halves") != std::string::npos);
  CHECK(rejection_of(map, Split{{0, 0}, 50, 2, 11, 1, 1}).find("was used before") != std::string::npos);
  CHECK(rejection_of(map, Split{{0, 0}, 50, 10, 11, 0, 1}).find("a weight") != std::string::npos);
  CHECK(rejection_of(map, Merge{{0, 0}, {2, 200}, 10, {}}).find("no neighbours") != std::string::npos);
  CHECK(rejection_of(map, Merge{{0, 0}, {1, 100}, 10, {{"a", Role::serving}}}).find("does not serve both") !=
        std::string::npos);
  CHECK(rejection_of(map, Merge{{2, 200}, {3, 300}, 10, {{"c", Role::copying}}}).find("no serving") !=
        std::string::npos);
  CHECK(rejection_of(map, Remove{{0, 0}, "c"}).find("no holder c") != std::string::npos);
  CHECK(rejection_of(map, AddHolder{{0, 0}, "a"}).find("twice") != std::string::npos);
  CHECK(rejection_of(map, Promote{{0, 0}, "a"}).find("already") != std::string::npos);
  RangeMap one = apply_change(map, Retire{{0, 0}, "a"});
  CHECK(rejection_of(one, Remove{{0, 0}, "b"}).find("no serving holder") != std::string::npos);
  CHECK(rejection_of(one, Retire{{0, 0}, "b"}).find("no serving holder") != std::string::npos);
  RangeMap copying = apply_change(map, AddHolder{{0, 0}, "d"});
  CHECK(rejection_of(copying, Retire{{0, 0}, "d"}).find("is copying") != std::string::npos);
  // The id of a range that has been merged away can't be reused.
  RangeMap split = apply_change(map, Split{{1, 100}, 150, 4, 5, 1, 1});
  RangeMap merged = apply_change(split, Merge{{4, 100}, {5, 150}, 6, {}});
  CHECK(rejection_of(merged, Split{{6, 100}, 150, 5, 7, 1, 1}).find("was used before") != std::string::npos);
}

TEST_CASE(
    "a range is split while its part is in flight, and split again while its successors are in flight") {
  RangeMap map = small_map();
  Plan p = make_plan(map, {{0, 200}});
  std::vector<OpenPart> open{{0, true, p.parts[0]}, {1, false, p.parts[1]}};
  map = apply_change(map, Split{{0, 0}, 40, 4, 5, 1, 1});
  map = apply_change(map, Split{{1, 100}, 150, 6, 7, 1, 1});
  auto d = replan(map, p.coverage, open);
  REQUIRE(d.size() == 2);
  CHECK(d[0].kind == Decision::Kind::defer);  // it is in flight: its answer may still arrive
  REQUIRE(d[1].kind == Decision::Kind::replace);
  CHECK(d[1].successors[0].span == Span{100, 150});
  CHECK(d[1].successors[1].span == Span{150, 200});
  // Its attempt fails; then the left successor is split while both are in flight.
  open = {{0, false, p.parts[0]}};
  d = replan(map, p.coverage, open);
  REQUIRE(d[0].kind == Decision::Kind::replace);
  open = {{2, true, d[0].successors[0]}, {3, true, d[0].successors[1]}};
  map = apply_change(map, Split{{4, 0}, 10, 8, 9, 1, 1});
  d = replan(map, p.coverage, open);
  CHECK(d[0].kind == Decision::Kind::defer);
  CHECK(d[1].kind == Decision::Kind::keep);
  // The left successor's answer still counts, and none that overlaps it may count again.
  CHECK(p.coverage.add_answer({0, 40}));
  CHECK_FALSE(p.coverage.add_answer({0, 10}));
  CHECK_FALSE(p.coverage.add_answer({0, 100}));
}

TEST_CASE("after a merge of ranges, only parts of which none is in flight are merged") {
  RangeMap map = small_map();
  Plan p = make_plan(map, {{100, 300}});
  map = apply_change(map, Merge{{1, 100}, {2, 200}, 4, {}});
  auto both_in_flight = replan(map, p.coverage, {{0, true, p.parts[0]}, {1, true, p.parts[1]}});
  REQUIRE(both_in_flight.size() == 2);
  CHECK(both_in_flight[0].kind == Decision::Kind::reassign);
  CHECK(both_in_flight[1].kind == Decision::Kind::reassign);
  CHECK(both_in_flight[0].successors[0].span == Span{100, 200});
  auto both_waiting = replan(map, p.coverage, {{0, false, p.parts[0]}, {1, false, p.parts[1]}});
  REQUIRE(both_waiting.size() == 1);
  CHECK(both_waiting[0].kind == Decision::Kind::merge);
  CHECK(both_waiting[0].successors[0].span == Span{100, 300});
  CHECK(both_waiting[0].successors[0].weight == doctest::Approx(1));
  auto mixed = replan(map, p.coverage, {{0, true, p.parts[0]}, {1, false, p.parts[1]}});
  CHECK(mixed.size() == 2);
}

TEST_CASE("split, merge and split of one range within one query keep the same keys") {
  RangeMap map = small_map();
  Plan p = make_plan(map, {{0, 100}});
  map = apply_change(map, Split{{0, 0}, 50, 4, 5, 1, 1});
  map = apply_change(map, Merge{{4, 0}, {5, 50}, 6, {}});
  map = apply_change(map, Split{{6, 0}, 30, 7, 8, 1, 1});
  auto d = replan(map, p.coverage, {{0, false, p.parts[0]}});
  REQUIRE(d[0].kind == Decision::Kind::replace);
  CHECK(d[0].successors[0].span == Span{0, 30});
  CHECK(d[0].successors[1].span == Span{30, 100});
}

TEST_CASE("of overlapping answers of a range and its successors, and of duplicates, the first one counts") {
  Plan p = make_plan(small_map(), {{0, 300}});
  Coverage c = p.coverage;
  CHECK(c.add_answer({0, 50}));
  CHECK_FALSE(c.add_answer({0, 100}));  // of the whole range, after one of its successors
  CHECK_FALSE(c.add_answer({0, 50}));   // a duplicate
  CHECK(c.add_answer({50, 100}));
  CHECK(c.answered_share() == doctest::Approx(1.0 / 3));
  CHECK(c.add_answer({100, 200}));
  CHECK_FALSE(c.add_answer({100, 150}));  // of a successor, after the whole range
  CHECK_FALSE(c.complete());
  CHECK(c.unassigned().spans() == std::vector<Span>{{200, 300}});
  CHECK_FALSE(c.add_answer({200, 301}));  // reaches outside the query
  CHECK(c.add_answer({200, 300}));
  CHECK(c.complete());
  CHECK(c.answered_share() == 1);
}

TEST_CASE("shares stay those of the plan when weights change during the query") {
  RangeMap map = map_of({{0, {0, 100}, 7, serving_holders({"a"})},
                         {1, {100, 200}, 3, serving_holders({"a"})},
                         {2, {200, kKeyEnd}, 1, serving_holders({"a"})}});
  Plan p = make_plan(map, {{0, 200}});
  CHECK(p.parts[0].weight == doctest::Approx(0.7));
  // The first range, 70% of the query when it was planned, gets a small weight and is split.
  map = apply_change(map, SetWeight{{0, 0}, 0.1});
  map = apply_change(map, Split{{0, 0}, 50, 3, 4, 0.01, 0.09});
  auto d = replan(map, p.coverage, {{0, false, p.parts[0]}, {1, false, p.parts[1]}});
  REQUIRE(d[0].kind == Decision::Kind::replace);
  CHECK(d[0].successors[0].weight == doctest::Approx(0.35));
  CHECK(d[0].successors[1].weight == doctest::Approx(0.35));
  CHECK(p.coverage.add_answer({0, 50}));
  CHECK(p.coverage.add_answer({50, 100}));
  CHECK(p.coverage.answered_share() == doctest::Approx(0.7));
}

TEST_CASE(
    "a denial by a node with an older map is retried later, by one with a newer map refreshes the "
    "directory") {
  RangeMap map = small_map().with_revision({1, 5}, 4);
  Plan p = make_plan(map, {{0, 100}});
  OpenPart part{0, false, p.parts[0]};
  auto behind = handle_denial(map, p.coverage, part, {{1, 3}, {}});
  CHECK_FALSE(behind.refresh_directory);
  CHECK_FALSE(behind.decision);
  auto ahead = handle_denial(map, p.coverage, part, {{1, 6}, {}});
  CHECK(ahead.refresh_directory);
  CHECK_FALSE(ahead.decision);
  auto later_incarnation = handle_denial(map, p.coverage, part, {{2, 1}, {}});
  CHECK(later_incarnation.refresh_directory);
  SUBCASE("successors that cover the part are used") {
    Denial denial{
        {1, 6},
        {{{0, 60}, 8, {}, serving_holders({"c"}), 0, {}}, {{60, 100}, 9, {}, serving_holders({"d"}), 0, {}}}};
    auto a = handle_denial(map, p.coverage, part, denial);
    REQUIRE(a.decision);
    CHECK(a.decision->kind == Decision::Kind::replace);
    CHECK(a.decision->successors[0].weight == doctest::Approx(0.6));
    CHECK(a.decision->successors[1].revision == Revision{1, 6});
  }
  SUBCASE("successors with a gap, an overlap, a missing end or no serving holder are not used") {
    auto none = std::make_shared<const Holders>(Holders{{"c", Role::copying}});
    const std::vector<std::vector<PlannedPart>> invalid_successors{
        {{{0, 40}, 8, {}, serving_holders({"c"}), 0, {}}, {{60, 100}, 9, {}, serving_holders({"d"}), 0, {}}},
        {{{0, 70}, 8, {}, serving_holders({"c"}), 0, {}}, {{60, 100}, 9, {}, serving_holders({"d"}), 0, {}}},
        {{{0, 60}, 8, {}, serving_holders({"c"}), 0, {}}, {{60, 90}, 9, {}, serving_holders({"d"}), 0, {}}},
        {{{0, 60}, 8, {}, serving_holders({"c"}), 0, {}}, {{60, 100}, 9, {}, none, 0, {}}},
        {{{0, 100}, 8, {}, nullptr, 0, {}}}};
    for (const auto& bad : invalid_successors) {
      auto a = handle_denial(map, p.coverage, part, {{1, 6}, bad});
      CHECK(a.refresh_directory);
      CHECK_FALSE(a.decision);
    }
  }
  SUBCASE("if a node contradicts the directory at the same revision, the directory takes precedence") {
    auto a =
        handle_denial(map, p.coverage, part, {{1, 5}, {{{0, 100}, 8, {}, serving_holders({"c"}), 0, {}}}});
    CHECK(a.refresh_directory);
    CHECK_FALSE(a.decision);
  }
  SUBCASE("if the map is newer than the part's plan, it decides") {
    RangeMap now = apply_change(map, Split{{0, 0}, 50, 4, 5, 1, 1});
    auto a = handle_denial(now, p.coverage, part, {{1, 6}, {}});
    REQUIRE(a.decision);
    CHECK(a.decision->kind == Decision::Kind::replace);
  }
}

TEST_CASE("a thousand changes to a map with a million ranges") {
  RangeMap map = map_of(even_ranges(1'000'000));
  CHECK(map.size() == 1'000'000);
  RangeMap before = map;
  RangeId next = map.next_id();
  for (int i = 0; i < 1000; ++i) {
    RangeView p = map.find(static_cast<Key>(i) * (kKeyEnd / 1000) + 5);
    map =
        apply_change(map, Split{{p.id, p.span.from}, p.span.from + p.span.size() / 2, next, next + 1, 1, 1});
    next += 2;
  }
  CHECK(map.size() == 1'001'000);
  CHECK(before.size() == 1'000'000);
  // Both revisions together use little more memory than one: they share the unchanged nodes.
  CHECK(map.bytes() < before.bytes() * 11 / 10);
  std::string why;
  CHECK_FALSE(plan(map, {{0, kKeyEnd}}, 1.0, 4096, why));
  CHECK(why.find("more than 4096 ranges") != std::string::npos);
}

TEST_CASE("invalid spans of a client are rejected with the reason") {
  CHECK(spans_fault({}, 4) == "no span");
  CHECK(spans_fault({{5, 5}}, 4).find("[5, 5)") != std::string::npos);
  CHECK(spans_fault({{0, kKeyEnd + 1}}, 4).find("2^53") != std::string::npos);
  CHECK(spans_fault({{10, 20}, {0, 11}}, 4).find("overlaps") != std::string::npos);
  CHECK(spans_fault({{0, 1}, {1, 2}, {2, 3}}, 2).find("more than 2") != std::string::npos);
  CHECK(spans_fault({{10, 20}, {0, 10}}, 4).empty());
}
