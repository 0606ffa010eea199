// Maps and changes that are refused, and the hard cases of moving ranges one by one. No sockets, no clock.
#include <doctest/doctest.h>

#include <limits>

#include "aggregator/ranges/follower.hpp"
#include "aggregator/ranges/replan.hpp"
#include "tests/aggregator/ranges/ranges_fixture.hpp"

using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

TEST_CASE("a whole map that isn't one is refused, with the range and the reason") {
  auto ranges = even(4);
  CHECK(wrong({}) == "no range");
  auto gap = ranges;
  gap[2].span.from += 5;
  CHECK(wrong(gap).find("a gap before it") != std::string::npos);
  auto overlap = ranges;
  overlap[1].span.to += 5;
  CHECK(wrong(overlap).find("overlaps") != std::string::npos);
  auto cut = ranges;
  cut.pop_back();
  CHECK(wrong(cut).find("the map ends there") != std::string::npos);
  auto late = ranges;
  late.erase(late.begin());
  CHECK(wrong(late).find("a gap before it, from 0") != std::string::npos);
  auto twice = ranges;
  twice[3].id = twice[0].id;
  CHECK(wrong(twice).find("an id that another range has") != std::string::npos);
  auto nobody = ranges;
  nobody[1].holders = std::make_shared<const Holders>(Holders{{"a", Role::copying}, {"b", Role::leaving}});
  CHECK(wrong(nobody).find("no serving holder") != std::string::npos);
  auto doubled = ranges;
  doubled[1].holders = held({"a", "a"});
  CHECK(wrong(doubled).find("holder a twice") != std::string::npos);
  for (double w :
       {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    auto light = ranges;
    light[0].weight = w;
    CHECK(wrong(light).find("a weight") != std::string::npos);
  }
  auto beyond = ranges;
  beyond[3].span.to = kKeyEnd + 1;
  CHECK(wrong(beyond).find("not within") != std::string::npos);
}

TEST_CASE("impossible changes are refused and say why") {
  RangeMap map = small();
  CHECK(refused(map, Split{{0, 0}, 100, 10, 11, 1, 1}).find("not inside") != std::string::npos);
  CHECK(refused(map, Split{{0, 0}, 50, 10, 10, 1, 1}).find("both halves") != std::string::npos);
  CHECK(refused(map, Split{{0, 0}, 50, 2, 11, 1, 1}).find("was used before") != std::string::npos);
  CHECK(refused(map, Split{{0, 0}, 50, 10, 11, 0, 1}).find("a weight") != std::string::npos);
  CHECK(refused(map, Merge{{0, 0}, {2, 200}, 10, {}}).find("no neighbours") != std::string::npos);
  CHECK(refused(map, Merge{{0, 0}, {1, 100}, 10, {{"a", Role::serving}}}).find("does not serve both") !=
        std::string::npos);
  CHECK(refused(map, Merge{{2, 200}, {3, 300}, 10, {{"c", Role::copying}}}).find("no serving") !=
        std::string::npos);
  CHECK(refused(map, Remove{{0, 0}, "c"}).find("no holder c") != std::string::npos);
  CHECK(refused(map, AddHolder{{0, 0}, "a"}).find("twice") != std::string::npos);
  CHECK(refused(map, Promote{{0, 0}, "a"}).find("already") != std::string::npos);
  RangeMap one = after(map, Retire{{0, 0}, "a"});
  CHECK(refused(one, Remove{{0, 0}, "b"}).find("no serving holder") != std::string::npos);
  CHECK(refused(one, Retire{{0, 0}, "b"}).find("no serving holder") != std::string::npos);
  RangeMap copying = after(map, AddHolder{{0, 0}, "d"});
  CHECK(refused(copying, Retire{{0, 0}, "d"}).find("is copying") != std::string::npos);
  // An id that a split has used up can't come again, though its range is merged away.
  RangeMap split = after(map, Split{{1, 100}, 150, 4, 5, 1, 1});
  RangeMap merged = after(split, Merge{{4, 100}, {5, 150}, 6, {}});
  CHECK(refused(merged, Split{{6, 100}, 150, 5, 7, 1, 1}).find("was used before") != std::string::npos);
}

TEST_CASE("a range splits after some of its parts are sent, and again while its children are out") {
  RangeMap map = small();
  Plan p = planned(map, {{0, 200}});
  std::vector<OpenPart> open{{0, true, p.parts[0]}, {1, false, p.parts[1]}};
  map = after(map, Split{{0, 0}, 40, 4, 5, 1, 1});
  map = after(map, Split{{1, 100}, 150, 6, 7, 1, 1});
  auto d = replan(map, p.coverage, open);
  REQUIRE(d.size() == 2);
  CHECK(d[0].kind == Decision::Kind::defer);  // it is out: its answer may still come
  REQUIRE(d[1].kind == Decision::Kind::replace);
  CHECK(d[1].successors[0].span == Span{100, 150});
  CHECK(d[1].successors[1].span == Span{150, 200});
  // Its attempt fails; then the left child splits while both are out.
  open = {{0, false, p.parts[0]}};
  d = replan(map, p.coverage, open);
  REQUIRE(d[0].kind == Decision::Kind::replace);
  open = {{2, true, d[0].successors[0]}, {3, true, d[0].successors[1]}};
  map = after(map, Split{{4, 0}, 10, 8, 9, 1, 1});
  d = replan(map, p.coverage, open);
  CHECK(d[0].kind == Decision::Kind::defer);
  CHECK(d[1].kind == Decision::Kind::keep);
  // The first child's answer still counts, and nothing of what replaced it may count again.
  CHECK(p.coverage.add_answer({0, 40}));
  CHECK_FALSE(p.coverage.add_answer({0, 10}));
  CHECK_FALSE(p.coverage.add_answer({0, 100}));
}

TEST_CASE("a merge: both halves out are left to end, waiting ones are joined, a mixed pair is not") {
  RangeMap map = small();
  Plan p = planned(map, {{100, 300}});
  map = after(map, Merge{{1, 100}, {2, 200}, 4, {}});
  auto both_out = replan(map, p.coverage, {{0, true, p.parts[0]}, {1, true, p.parts[1]}});
  REQUIRE(both_out.size() == 2);
  CHECK(both_out[0].kind == Decision::Kind::reassign);
  CHECK(both_out[1].kind == Decision::Kind::reassign);
  CHECK(both_out[0].successors[0].span == Span{100, 200});
  auto both_wait = replan(map, p.coverage, {{0, false, p.parts[0]}, {1, false, p.parts[1]}});
  REQUIRE(both_wait.size() == 1);
  CHECK(both_wait[0].kind == Decision::Kind::merge);
  CHECK(both_wait[0].successors[0].span == Span{100, 300});
  CHECK(both_wait[0].successors[0].weight == doctest::Approx(1));
  auto mixed = replan(map, p.coverage, {{0, true, p.parts[0]}, {1, false, p.parts[1]}});
  CHECK(mixed.size() == 2);
}

TEST_CASE("split, merge and split of one range within one query come to the same keys") {
  RangeMap map = small();
  Plan p = planned(map, {{0, 100}});
  map = after(map, Split{{0, 0}, 50, 4, 5, 1, 1});
  map = after(map, Merge{{4, 0}, {5, 50}, 6, {}});
  map = after(map, Split{{6, 0}, 30, 7, 8, 1, 1});
  auto d = replan(map, p.coverage, {{0, false, p.parts[0]}});
  REQUIRE(d[0].kind == Decision::Kind::replace);
  CHECK(d[0].successors[0].span == Span{0, 30});
  CHECK(d[0].successors[1].span == Span{30, 100});
}

TEST_CASE("parent's and child's answers in either order, and duplicates: the first that covers wins") {
  Plan p = planned(small(), {{0, 300}});
  Coverage c = p.coverage;
  CHECK(c.add_answer({0, 50}));
  CHECK_FALSE(c.add_answer({0, 100}));  // the parent, after a child
  CHECK_FALSE(c.add_answer({0, 50}));   // a duplicate
  CHECK(c.add_answer({50, 100}));
  CHECK(c.answered_share() == doctest::Approx(1.0 / 3));
  CHECK(c.add_answer({100, 200}));
  CHECK_FALSE(c.add_answer({100, 150}));  // a child, after its parent
  CHECK_FALSE(c.complete());
  CHECK(c.unassigned().spans() == std::vector<Span>{{200, 300}});
  CHECK_FALSE(c.add_answer({200, 301}));  // reaches outside the query
  CHECK(c.add_answer({200, 300}));
  CHECK(c.complete());
  CHECK(c.answered_share() == 1);
}

TEST_CASE("shares are those of the plan, though weights shift under it") {
  RangeMap map = map_of(
      {{0, {0, 100}, 7, held({"a"})}, {1, {100, 200}, 3, held({"a"})}, {2, {200, kKeyEnd}, 1, held({"a"})}});
  Plan p = planned(map, {{0, 200}});
  CHECK(p.parts[0].weight == doctest::Approx(0.7));
  // The first range, 70% of the report when it was asked for, becomes light and is split.
  map = after(map, SetWeight{{0, 0}, 0.1});
  map = after(map, Split{{0, 0}, 50, 3, 4, 0.01, 0.09});
  auto d = replan(map, p.coverage, {{0, false, p.parts[0]}, {1, false, p.parts[1]}});
  REQUIRE(d[0].kind == Decision::Kind::replace);
  CHECK(d[0].successors[0].weight == doctest::Approx(0.35));
  CHECK(d[0].successors[1].weight == doctest::Approx(0.35));
  CHECK(p.coverage.add_answer({0, 50}));
  CHECK(p.coverage.add_answer({50, 100}));
  CHECK(p.coverage.answered_share() == doctest::Approx(0.7));
}

TEST_CASE("not mine: a node behind gets a moment, one ahead sends us to the directory") {
  RangeMap map = small().with_revision({1, 5}, 4);
  Plan p = planned(map, {{0, 100}});
  OpenPart part{0, false, p.parts[0]};
  auto behind = handle_denial(map, p.coverage, part, {{1, 3}, {}});
  CHECK_FALSE(behind.refresh_directory);
  CHECK_FALSE(behind.decision);
  auto ahead = handle_denial(map, p.coverage, part, {{1, 6}, {}});
  CHECK(ahead.refresh_directory);
  CHECK_FALSE(ahead.decision);
  auto later_begin = handle_denial(map, p.coverage, part, {{2, 1}, {}});
  CHECK(later_begin.refresh_directory);
  SUBCASE("successors that cover the part are used") {
    Denial word{{1, 6}, {{{0, 60}, 8, {}, held({"c"}), 0, {}}, {{60, 100}, 9, {}, held({"d"}), 0, {}}}};
    auto a = handle_denial(map, p.coverage, part, word);
    REQUIRE(a.decision);
    CHECK(a.decision->kind == Decision::Kind::replace);
    CHECK(a.decision->successors[0].weight == doctest::Approx(0.6));
    CHECK(a.decision->successors[1].revision == Revision{1, 6});
  }
  SUBCASE("successors that don't are not: a gap, an overlap, short of the end, without a holder") {
    auto none = std::make_shared<const Holders>(Holders{{"c", Role::copying}});
    const std::vector<std::vector<PlannedPart>> bads{
        {{{0, 40}, 8, {}, held({"c"}), 0, {}}, {{60, 100}, 9, {}, held({"d"}), 0, {}}},
        {{{0, 70}, 8, {}, held({"c"}), 0, {}}, {{60, 100}, 9, {}, held({"d"}), 0, {}}},
        {{{0, 60}, 8, {}, held({"c"}), 0, {}}, {{60, 90}, 9, {}, held({"d"}), 0, {}}},
        {{{0, 60}, 8, {}, held({"c"}), 0, {}}, {{60, 100}, 9, {}, none, 0, {}}},
        {{{0, 100}, 8, {}, nullptr, 0, {}}}};
    for (const auto& bad : bads) {
      auto a = handle_denial(map, p.coverage, part, {{1, 6}, bad});
      CHECK(a.refresh_directory);
      CHECK_FALSE(a.decision);
    }
  }
  SUBCASE("a node and a directory of one revision that contradict each other: the directory's word holds") {
    auto a = handle_denial(map, p.coverage, part, {{1, 5}, {{{0, 100}, 8, {}, held({"c"}), 0, {}}}});
    CHECK(a.refresh_directory);
    CHECK_FALSE(a.decision);
  }
  SUBCASE("the map has moved on since the part was planned: that is the answer") {
    RangeMap now = after(map, Split{{0, 0}, 50, 4, 5, 1, 1});
    auto a = handle_denial(now, p.coverage, part, {{1, 6}, {}});
    REQUIRE(a.decision);
    CHECK(a.decision->kind == Decision::Kind::replace);
  }
}

TEST_CASE("a flood of a thousand changes, and a map with a million ranges") {
  RangeMap map = map_of(even(1'000'000));
  CHECK(map.size() == 1'000'000);
  RangeMap before = map;
  RangeId next = map.next_id();
  for (int i = 0; i < 1000; ++i) {
    RangeView p = map.find(static_cast<Key>(i) * (kKeyEnd / 1000) + 5);
    map = after(map, Split{{p.id, p.span.from}, p.span.from + p.span.size() / 2, next, next + 1, 1, 1});
    next += 2;
  }
  CHECK(map.size() == 1'001'000);
  CHECK(before.size() == 1'000'000);
  // Both revisions together hold little more than one: they share what did not change.
  CHECK(map.bytes() < before.bytes() * 11 / 10);
  std::string why;
  CHECK_FALSE(plan(map, {{0, kKeyEnd}}, 1.0, 4096, why));
  CHECK(why.find("more than 4096 ranges") != std::string::npos);
}

TEST_CASE("spans that no client should send are told with what is wrong") {
  CHECK(spans_fault({}, 4) == "no span");
  CHECK(spans_fault({{5, 5}}, 4).find("[5, 5)") != std::string::npos);
  CHECK(spans_fault({{0, kKeyEnd + 1}}, 4).find("2^53") != std::string::npos);
  CHECK(spans_fault({{10, 20}, {0, 11}}, 4).find("overlaps") != std::string::npos);
  CHECK(spans_fault({{0, 1}, {1, 2}, {2, 3}}, 2).find("more than 2") != std::string::npos);
  CHECK(spans_fault({{10, 20}, {0, 10}}, 4).empty());
}
