// Property tests: map, changes, spans, coverage, planning and replanning against reference models, over
// random histories. No sockets, no clock.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "aggregator/ranges/follower.hpp"
#include "aggregator/ranges/replan.hpp"
#include "tests/aggregator/ranges/ranges_fixture.hpp"

using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

TEST_CASE(
    "random histories: the map equals its reference model, and a copy of an earlier revision stays "
    "unchanged") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    RandomSource begin(static_cast<std::uint32_t>(steps.size()));
    RangeMap map = map_of(even_ranges(1 + begin.below(90)));
    ReferenceMap model = reference_of(map);
    RangeMap earlier = map;
    ReferenceMap earlier_model = model;
    for (std::uint32_t step : steps) {
      RandomSource d(step);
      bool possible = false;
      Change change = draw_change(d, model, map.next_id(), possible);
      std::string why;
      auto next = apply(map, change, why);
      RC_ASSERT(next.has_value() == possible);
      RC_ASSERT(next.has_value() || !why.empty());
      if (next) {
        RC_ASSERT(next->revision().number == map.revision().number + 1);
        map = std::move(*next);
      }
      if (d.one_in(5)) {
        earlier = map;
        earlier_model = model;
      }
    }
    RC_ASSERT(map.size() == model.rows.size());
    RC_ASSERT(reference_of(map).rows == model.rows);
    RC_ASSERT(reference_of(earlier).rows == earlier_model.rows);
    // Look-ups at the borders of ranges and inside them.
    for (auto it = model.rows.begin(); it != model.rows.end(); ++it)
      for (Key key : {it->first, model.end(it) - 1, it->first + (model.end(it) - it->first) / 2}) {
        RangeView p = map.find(key);
        RC_ASSERT(p.id == it->second.id);
        RC_ASSERT(p.span == (Span{it->first, model.end(it)}));
      }
    // A map that is built from all its ranges is valid.
    std::string why;
    RC_ASSERT(RangeMap::build(map.revision(), map.all(), why).has_value());
  }));
}

TEST_CASE("random histories: a SpanSet equals a set of keys") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    SpanSet set;
    std::set<Key> model;
    for (std::uint32_t step : steps) {
      RandomSource d(step);
      Key from = d.below(60), to = from + d.below(20);
      if (d.one_in(2)) {
        set.add({from, to});
        for (Key k = from; k < to; ++k) model.insert(k);
      } else {
        set.remove({from, to});
        for (Key k = from; k < to; ++k) model.erase(k);
      }
      RC_ASSERT(set.size() == model.size());
      for (std::size_t i = 1; i < set.spans().size(); ++i)
        RC_ASSERT(set.spans()[i - 1].to < set.spans()[i].from);
      Key a = d.below(60), b = a + 1 + d.below(20);
      bool all = true, any = false;
      for (Key k = a; k < b; ++k) {
        all = all && model.count(k);
        any = any || model.count(k);
      }
      RC_ASSERT(set.contains({a, b}) == all);
      RC_ASSERT(set.overlaps({a, b}) == any);
    }
  }));
}

// A query with answers, failures, duplicates and late answers in any order while its ranges change. An array
// counts the answers that are accepted for each key.
TEST_CASE("random histories: every account is counted once, whatever changes while the query runs") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    RandomSource begin(static_cast<std::uint32_t>(steps.size()) * 7 + 1);
    constexpr Key kKeys = 400;
    std::vector<Range> ranges;
    for (Key from = 0; from < kKeys;) {
      Key to = std::min<Key>(kKeys, from + 20 + begin.below(100));
      ranges.push_back({ranges.size(),
                        {from, to},
                        1.0 + static_cast<double>(begin.below(5)),
                        serving_holders({"a", "b", "c"})});
      from = to;
    }
    ranges.push_back({ranges.size(), {kKeys, kKeyEnd}, 1, serving_holders({"a"})});
    RangeMap map = map_of(ranges);
    Key from = begin.below(200), to = from + 1 + begin.below(kKeys - 200);
    Plan p = make_plan(map, {{from, to}});
    std::vector<int> counted(kKeys, 0);
    std::vector<OpenPart> open;
    std::vector<Span> late;  // answers to abandoned attempts and repeated ones: may arrive at any time
    for (const PlannedPart& part : p.parts) open.push_back({open.size(), false, part});
    std::size_t number = open.size();
    double share = 0;
    auto answer = [&](const Span& span) {
      bool overlap = false;
      for (Key k = span.from; k < span.to; ++k) overlap = overlap || counted[k] > 0;
      bool accepted = p.coverage.add_answer(span);
      RC_ASSERT(accepted == !overlap);
      if (accepted) share += p.coverage.share(span);
      for (Key k = span.from; accepted && k < span.to; ++k) ++counted[k];
    };
    auto carry_out = [&](const std::vector<Decision>& decisions) {
      for (const Decision& d : decisions) {
        SpanSet before, later;
        double weight = 0, weight_after = 0;
        for (std::size_t n : d.parts) {
          auto it = std::find_if(open.begin(), open.end(), [&](auto& o) { return o.number == n; });
          RC_ASSERT(it != open.end());
          if (d.kind == Decision::Kind::replace || d.kind == Decision::Kind::merge) RC_ASSERT(!it->in_flight);
          before.add(it->planned.span);
          SpanSet rest(std::vector<Span>{it->planned.span});
          rest = rest.minus(p.coverage.answered());
          double left = 0;
          for (const Span& s : rest.spans()) left += p.coverage.share(s);
          weight += it->planned.weight * left / p.coverage.share(it->planned.span);
          if (d.kind == Decision::Kind::reassign) it->planned = d.successors[0];
          if (d.kind == Decision::Kind::replace || d.kind == Decision::Kind::merge) open.erase(it);
        }
        if (d.kind == Decision::Kind::keep || d.kind == Decision::Kind::defer) continue;
        before = before.minus(p.coverage.answered());
        for (const PlannedPart& s : d.successors) {
          RC_ASSERT(!later.overlaps(s.span));
          later.add(s.span);
          weight_after += s.weight;
          if (d.kind != Decision::Kind::reassign) open.push_back({number++, false, s});
        }
        RC_ASSERT(before == later);
        RC_ASSERT(std::abs(weight - weight_after) < 1e-9);
      }
    };
    for (std::uint32_t step : steps) {
      RandomSource d(step);
      if (d.one_in(3)) {
        ReferenceMap model = reference_of(map);
        bool possible = false;
        Change change = draw_change(d, model, map.next_id(), possible);
        std::string why;
        if (auto next = apply(map, change, why)) {
          map = std::move(*next);
          carry_out(replan(map, p.coverage, open));
        }
      } else if (!late.empty() && d.one_in(4)) {
        answer(late[d.below(late.size())]);
        std::erase_if(open,
                      [&](const OpenPart& o) { return p.coverage.answered().contains(o.planned.span); });
      } else if (!open.empty()) {
        std::size_t at = d.below(open.size());
        OpenPart& part = open[at];
        if (!part.in_flight) {
          part.in_flight = true;
          p.coverage.on_sent(part.planned.span);
        } else if (d.one_in(2) && !p.coverage.answered().overlaps(part.planned.span)) {
          answer(part.planned.span);
          late.push_back(part.planned.span);
          open.erase(open.begin() + static_cast<long>(at));
        } else {  // it fails, or its answer is dropped because some of its keys are answered
          p.coverage.on_attempt_failed(part.planned.span);
          late.push_back(part.planned.span);
          part.in_flight = false;
          carry_out(replan(map, p.coverage, open));
        }
      }
      RC_ASSERT(std::abs(share - p.coverage.answered_share()) < 1e-6);
    }
    // Finally all attempts in flight fail, and the parts that are planned instead are answered.
    for (OpenPart& part : open) part.in_flight = false;
    carry_out(replan(map, p.coverage, open));
    while (!open.empty()) {
      answer(open.back().planned.span);
      open.pop_back();
    }
    for (Key k = 0; k < kKeys; ++k) RC_ASSERT(counted[k] == (k >= from && k < to ? 1 : 0));
    RC_ASSERT(p.coverage.complete());
    RC_ASSERT(p.coverage.answered_share() == 1);
  }));
}

TEST_CASE("random updates of a directory are applied as a whole or rejected, and the map is always valid") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    Follower follower;
    RangeMap directory_map = map_of(even_ranges(6));
    Millis now = 0;
    for (std::uint32_t step : steps) {
      RandomSource d(step);
      now += 10;
      RangeMap held = follower.map();
      Update u;
      bool complete = d.one_in(4);
      std::uint64_t from = directory_map.revision().number;
      for (std::size_t i = d.below(4); i > 0; --i) {
        ReferenceMap model = reference_of(directory_map);
        bool possible = false;
        Change change = draw_change(d, model, directory_map.next_id(), possible);
        std::string why;
        auto next = apply(directory_map, change, why);
        if (!next) continue;
        directory_map = std::move(*next);
        u.changes.push_back(change);
      }
      u.revision = directory_map.revision();
      if (complete) {
        u.complete = true;
        u.changes.clear();
        u.ranges = directory_map.all();
      }
      bool lost = d.one_in(4);  // this update doesn't arrive
      bool corrupted = d.one_in(5);
      if (corrupted && complete)
        u.ranges.erase(u.ranges.begin() + static_cast<long>(d.below(u.ranges.size())));
      if (corrupted && !complete) u.changes.push_back(SetWeight{{77'777, 1}, 1});
      if (lost) continue;
      UpdateResult result = follower.apply_update(u, now);
      if (result == UpdateResult::applied) {
        RC_ASSERT(!corrupted);
        RC_ASSERT(reference_of(follower.map()).rows == reference_of(directory_map).rows);
        RC_ASSERT(follower.map().revision() == directory_map.revision());
      } else {
        RC_ASSERT(reference_of(follower.map()).rows == reference_of(held).rows);
        if (result != UpdateResult::unchanged && result != UpdateResult::page)
          RC_ASSERT(!follower.fault().empty());
      }
      if (follower.needs_reopen()) {
        follower.on_watch_closed(now, 0.5);
        follower.on_watch_opened(now);
        Update all;
        all.revision = directory_map.revision();
        all.complete = true;
        all.ranges = directory_map.all();
        follower.apply_update(all, now);
        RC_ASSERT(follower.map().revision() == directory_map.revision());
      }
      (void)from;
    }
  }));
}
