// Map, changes, spans, coverage, planning and replanning against plain models, over random histories. No
// sockets, no clock.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "aggregator/ranges/follower.hpp"
#include "aggregator/ranges/replan.hpp"
#include "tests/aggregator/ranges/ranges_fixture.hpp"

using namespace winchhall::ranges;
using namespace winchhall::ranges::testing;

TEST_CASE("random histories: the map is what a plain one becomes, and what was pinned stays as it was") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    Dice begin(static_cast<std::uint32_t>(steps.size()));
    RangeMap map = map_of(even(1 + begin.below(90)));
    Plain model = plain(map);
    RangeMap pinned = map;
    Plain pinned_model = model;
    for (std::uint32_t step : steps) {
      Dice d(step);
      bool possible = false;
      Change change = draw(d, model, map.next_id(), possible);
      std::string why;
      auto next = apply(map, change, why);
      RC_ASSERT(next.has_value() == possible);
      RC_ASSERT(next.has_value() || !why.empty());
      if (next) {
        RC_ASSERT(next->revision().number == map.revision().number + 1);
        map = std::move(*next);
      }
      if (d.one_in(5)) {
        pinned = map;
        pinned_model = model;
      }
    }
    RC_ASSERT(map.size() == model.rows.size());
    RC_ASSERT(plain(map).rows == model.rows);
    RC_ASSERT(plain(pinned).rows == pinned_model.rows);
    // Look-ups, at borders and inside, against the plain map's own.
    for (auto it = model.rows.begin(); it != model.rows.end(); ++it)
      for (Key key : {it->first, model.end(it) - 1, it->first + (model.end(it) - it->first) / 2}) {
        RangeView p = map.find(key);
        RC_ASSERT(p.id == it->second.id);
        RC_ASSERT(p.span == (Span{it->first, model.end(it)}));
      }
    // The whole of it, told anew, is as sound.
    std::string why;
    RC_ASSERT(RangeMap::build(map.revision(), map.all(), why).has_value());
  }));
}

TEST_CASE("random histories: a set of spans is a set of keys") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    SpanSet set;
    std::set<Key> model;
    for (std::uint32_t step : steps) {
      Dice d(step);
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

// A query's life with everything that can happen to it: answers, failures, duplicates and late answers in any
// order, ranges that move under it. Each key is counted in an array by hand.
TEST_CASE("random histories: every account is in once, whatever moves while the query runs") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    Dice begin(static_cast<std::uint32_t>(steps.size()) * 7 + 1);
    constexpr Key kKeys = 400;
    std::vector<Range> ranges;
    for (Key from = 0; from < kKeys;) {
      Key to = std::min<Key>(kKeys, from + 20 + begin.below(100));
      ranges.push_back(
          {ranges.size(), {from, to}, 1.0 + static_cast<double>(begin.below(5)), held({"a", "b", "c"})});
      from = to;
    }
    ranges.push_back({ranges.size(), {kKeys, kKeyEnd}, 1, held({"a"})});
    RangeMap map = map_of(ranges);
    Key from = begin.below(200), to = from + 1 + begin.below(kKeys - 200);
    Plan p = planned(map, {{from, to}});
    std::vector<int> counted(kKeys, 0);
    std::vector<OpenPart> open;
    std::vector<Span> late;  // answers to attempts that were given up, and repeats: may come at any time
    for (const PlannedPart& part : p.parts) open.push_back({open.size(), false, part});
    std::size_t number = open.size();
    double share = 0;
    auto answer = [&](const Span& span) {
      bool overlap = false;
      for (Key k = span.from; k < span.to; ++k) overlap = overlap || counted[k] > 0;
      bool taken = p.coverage.add_answer(span);
      RC_ASSERT(taken == !overlap);
      if (taken) share += p.coverage.share(span);
      for (Key k = span.from; taken && k < span.to; ++k) ++counted[k];
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
      Dice d(step);
      if (d.one_in(3)) {
        Plain model = plain(map);
        bool possible = false;
        Change change = draw(d, model, map.next_id(), possible);
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
        } else {  // it fails, or what it brings is dropped as some of it is in
          p.coverage.on_attempt_failed(part.planned.span);
          late.push_back(part.planned.span);
          part.in_flight = false;
          carry_out(replan(map, p.coverage, open));
        }
      }
      RC_ASSERT(std::abs(share - p.coverage.answered_share()) < 1e-6);
    }
    // Then all that is out fails, and what is planned instead is answered.
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

TEST_CASE("random bytes of a directory's words: taken whole or refused, and the map is always sound") {
  CHECK(rc::check([](const std::vector<std::uint32_t>& steps) {
    Follower follower;
    RangeMap truth = map_of(even(6));
    Millis now = 0;
    for (std::uint32_t step : steps) {
      Dice d(step);
      now += 10;
      RangeMap held = follower.map();
      Update u;
      bool complete = d.one_in(4);
      std::uint64_t from = truth.revision().number;
      for (std::size_t i = d.below(4); i > 0; --i) {
        Plain model = plain(truth);
        bool possible = false;
        Change change = draw(d, model, truth.next_id(), possible);
        std::string why;
        auto next = apply(truth, change, why);
        if (!next) continue;
        truth = std::move(*next);
        u.changes.push_back(change);
      }
      u.revision = truth.revision();
      if (complete) {
        u.complete = true;
        u.changes.clear();
        u.ranges = truth.all();
      }
      bool lost = d.one_in(4);  // this word doesn't arrive
      bool bent = d.one_in(5);
      if (bent && complete) u.ranges.erase(u.ranges.begin() + static_cast<long>(d.below(u.ranges.size())));
      if (bent && !complete) u.changes.push_back(SetWeight{{77'777, 1}, 1});
      if (lost) continue;
      UpdateResult taken = follower.apply_update(u, now);
      if (taken == UpdateResult::applied) {
        RC_ASSERT(!bent);
        RC_ASSERT(plain(follower.map()).rows == plain(truth).rows);
        RC_ASSERT(follower.map().revision() == truth.revision());
      } else {
        RC_ASSERT(plain(follower.map()).rows == plain(held).rows);
        if (taken != UpdateResult::unchanged && taken != UpdateResult::page)
          RC_ASSERT(!follower.fault().empty());
      }
      if (follower.needs_reopen()) {
        follower.on_watch_closed(now, 0.5);
        follower.on_watch_opened(now);
        Update all;
        all.revision = truth.revision();
        all.complete = true;
        all.ranges = truth.all();
        follower.apply_update(all, now);
        RC_ASSERT(follower.map().revision() == truth.revision());
      }
      (void)from;
    }
  }));
}
