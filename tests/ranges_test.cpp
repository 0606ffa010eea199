// Map, changes, spans, coverage, planning and replanning against plain models, over random histories, and the
// hard cases of moving ranges one by one. No sockets, no clock.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>
#include <map>
#include <random>
#include <set>

#include "ranges/follower.hpp"
#include "ranges/replan.hpp"

using namespace winchhall::ranges;

namespace {

HoldersPtr held(std::initializer_list<const char*> serving) {
  Holders list;
  for (const char* s : serving) list.push_back({s, Role::serving});
  return std::make_shared<const Holders>(list);
}

std::vector<Range> even(std::size_t count, HoldersPtr holders = held({"a", "b"})) {
  std::vector<Range> list;
  for (std::size_t i = 0; i < count; ++i) {
    Key from = kKeyEnd / count * i, to = i + 1 == count ? kKeyEnd : kKeyEnd / count * (i + 1);
    list.push_back({i, {from, to}, 1.0, holders});
  }
  return list;
}

RangeMap map_of(std::vector<Range> ranges, Revision revision = {1, 1}) {
  std::string why;
  auto map = RangeMap::build(revision, std::move(ranges), why);
  REQUIRE_MESSAGE(map, why);
  return *map;
}

// Three ranges of 100 keys each, and the rest.
RangeMap small() {
  return map_of({{0, {0, 100}, 1, held({"a", "b"})},
                 {1, {100, 200}, 1, held({"b", "c"})},
                 {2, {200, 300}, 1, held({"b", "c"})},
                 {3, {300, kKeyEnd}, 1, held({"a", "c"})}});
}

RangeMap after(const RangeMap& map, const Change& change) {
  std::string why;
  auto next = apply(map, change, why);
  REQUIRE_MESSAGE(next, why);
  return *next;
}

std::string refused(const RangeMap& map, const Change& change) {
  std::string why;
  CHECK_FALSE(apply(map, change, why));
  CHECK(!why.empty());
  return why;
}

std::string wrong(std::vector<Range> ranges) {
  std::string why;
  CHECK_FALSE(RangeMap::build({1, 1}, std::move(ranges), why));
  return why;
}

Plan planned(const RangeMap& map, std::vector<Span> spans) {
  std::string why;
  auto p = plan(map, spans, 100.0, 1000, why);
  REQUIRE_MESSAGE(p, why);
  return *p;
}

// ---- A plain model of the map: a std::map, and the rules of changes written out a second time.

struct Plain {
  struct Row {
    RangeId id;
    double weight;
    std::map<std::string, Role> holders;
    bool operator==(const Row&) const = default;
  };
  std::map<Key, Row> rows;
  std::set<RangeId> used;

  Key end(std::map<Key, Row>::const_iterator it) const {
    return std::next(it) == rows.end() ? kKeyEnd : std::next(it)->first;
  }
  static int servers(const Row& r) {
    int n = 0;
    for (const auto& [name, role] : r.holders) n += role == Role::serving;
    return n;
  }
};

Plain plain(const RangeMap& map) {
  Plain p;
  for (const Range& r : map.all()) {
    Plain::Row row{r.id, r.weight, {}};
    for (const Holder& h : *r.holders) row.holders[h.server] = h.role;
    p.rows[r.span.from] = row;
    p.used.insert(r.id);
  }
  return p;
}

// Numbers that a test draws from: each element of what rapidcheck made is one step, so it shrinks by steps.
struct Dice {
  explicit Dice(std::uint32_t seed) : engine(seed) {}
  std::size_t below(std::size_t n) { return n == 0 ? 0 : engine() % n; }
  bool one_in(std::size_t n) { return below(n) == 0; }
  std::mt19937 engine;
};

const char* const kServers[] = {"a", "b", "c", "d", "e"};

// One change, drawn so that about half of them are possible, and whether the model takes it.
Change draw(Dice& d, Plain& model, RangeId next, bool& possible) {
  auto it = model.rows.begin();
  std::advance(it, static_cast<long>(d.below(model.rows.size())));
  Plain::Row& row = it->second;
  Key from = it->first, to = model.end(it);
  Target target{row.id, from};
  bool right_target = !d.one_in(8);
  if (!right_target) target.range += 1000;
  std::string server = kServers[d.below(std::size(kServers))];
  auto holder = row.holders.find(server);
  bool has = holder != row.holders.end();
  bool last = has && holder->second == Role::serving && Plain::servers(row) == 1;
  switch (d.below(7)) {
    case 0: {
      Key at = d.one_in(6) ? from
                           : from + 1 + d.below(static_cast<std::size_t>(std::min<Key>(to - from, 1 << 20)));
      RangeId left = d.one_in(8) ? row.id : next, right = next + 1;
      possible = right_target && at > from && at < to && !model.used.count(left);
      if (possible) {
        Plain::Row l = row, r = row;
        l.id = left;
        r.id = right;
        l.weight = 2;
        r.weight = 3;
        model.rows[from] = l;
        model.rows[at] = r;
        model.used.insert({left, right});
      }
      return Split{target, at, left, right, 2, 3};
    }
    case 1: {
      auto right = std::next(it);
      bool far = d.one_in(6);
      if (right != model.rows.end() && far) right = std::next(right);
      if (right == model.rows.end()) {
        possible = false;
        return Merge{target, {999'999, 5}, next, {}};
      }
      Plain::Row merged{next, row.weight + right->second.weight, {}};
      for (const auto& [name, role] : row.holders)
        if (auto other = right->second.holders.find(name); other != right->second.holders.end()) {
          Role both = role == other->second ? role : Role::leaving;
          if (role == Role::copying || other->second == Role::copying) both = Role::copying;
          merged.holders[name] = both;
        }
      possible = right_target && !far && Plain::servers(merged) > 0;
      Merge change{target, {right->second.id, right->first}, next, {}};
      if (possible) {
        model.rows.erase(right);
        model.rows[from] = merged;
        model.used.insert(next);
      }
      return change;
    }
    case 2:
      possible = right_target && !has;
      if (possible) row.holders[server] = Role::copying;
      return AddHolder{target, server};
    case 3:
      possible = right_target && has && holder->second != Role::serving;
      if (possible) holder->second = Role::serving;
      return Promote{target, server};
    case 4:
      possible = right_target && has && holder->second == Role::serving && !last;
      if (possible) holder->second = Role::leaving;
      return Retire{target, server};
    case 5:
      possible = right_target && has && !last;
      if (possible) row.holders.erase(holder);
      return Remove{target, server};
    default: {
      double weight = d.one_in(4) ? 0 : 0.5 + static_cast<double>(d.below(10));
      possible = right_target && weight > 0;
      if (possible) row.weight = weight;
      return Weigh{target, weight};
    }
  }
}

}  // namespace

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
        Place p = map.find(key);
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
      bool taken = p.coverage.take(span);
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
          if (d.kind == Decision::Kind::replace || d.kind == Decision::Kind::join) RC_ASSERT(!it->out);
          before.add(it->planned.span);
          SpanSet rest(std::vector<Span>{it->planned.span});
          rest = rest.minus(p.coverage.in());
          double left = 0;
          for (const Span& s : rest.spans()) left += p.coverage.share(s);
          weight += it->planned.weight * left / p.coverage.share(it->planned.span);
          if (d.kind == Decision::Kind::elsewhere) it->planned = d.successors[0];
          if (d.kind == Decision::Kind::replace || d.kind == Decision::Kind::join) open.erase(it);
        }
        if (d.kind == Decision::Kind::keep || d.kind == Decision::Kind::hold_back) continue;
        before = before.minus(p.coverage.in());
        for (const PlannedPart& s : d.successors) {
          RC_ASSERT(!later.overlaps(s.span));
          later.add(s.span);
          weight_after += s.weight;
          if (d.kind != Decision::Kind::elsewhere) open.push_back({number++, false, s});
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
        std::erase_if(open, [&](const OpenPart& o) { return p.coverage.in().contains(o.planned.span); });
      } else if (!open.empty()) {
        std::size_t at = d.below(open.size());
        OpenPart& part = open[at];
        if (!part.out) {
          part.out = true;
          p.coverage.sent(part.planned.span);
        } else if (d.one_in(2) && !p.coverage.in().overlaps(part.planned.span)) {
          answer(part.planned.span);
          late.push_back(part.planned.span);
          open.erase(open.begin() + static_cast<long>(at));
        } else {  // it fails, or what it brings is dropped as some of it is in
          p.coverage.back(part.planned.span);
          late.push_back(part.planned.span);
          part.out = false;
          carry_out(replan(map, p.coverage, open));
        }
      }
      RC_ASSERT(std::abs(share - p.coverage.in_share()) < 1e-6);
    }
    // Then all that is out fails, and what is planned instead is answered.
    for (OpenPart& part : open) part.out = false;
    carry_out(replan(map, p.coverage, open));
    while (!open.empty()) {
      answer(open.back().planned.span);
      open.pop_back();
    }
    for (Key k = 0; k < kKeys; ++k) RC_ASSERT(counted[k] == (k >= from && k < to ? 1 : 0));
    RC_ASSERT(p.coverage.whole());
    RC_ASSERT(p.coverage.in_share() == 1);
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
      bool whole = d.one_in(4);
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
      if (whole) {
        u.complete = true;
        u.changes.clear();
        u.ranges = truth.all();
      }
      bool lost = d.one_in(4);  // this word doesn't arrive
      bool bent = d.one_in(5);
      if (bent && whole) u.ranges.erase(u.ranges.begin() + static_cast<long>(d.below(u.ranges.size())));
      if (bent && !whole) u.changes.push_back(Weigh{{77'777, 1}, 1});
      if (lost) continue;
      Taken taken = follower.take(u, now);
      if (taken == Taken::taken) {
        RC_ASSERT(!bent);
        RC_ASSERT(plain(follower.map()).rows == plain(truth).rows);
        RC_ASSERT(follower.map().revision() == truth.revision());
      } else {
        RC_ASSERT(plain(follower.map()).rows == plain(held).rows);
        if (taken != Taken::nothing && taken != Taken::page) RC_ASSERT(!follower.fault().empty());
      }
      if (follower.wants_reopen()) {
        follower.reopening(now, 0.5);
        follower.opened(now);
        Update all;
        all.revision = truth.revision();
        all.complete = true;
        all.ranges = truth.all();
        follower.take(all, now);
        RC_ASSERT(follower.map().revision() == truth.revision());
      }
      (void)from;
    }
  }));
}

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
  CHECK(d[0].kind == Decision::Kind::hold_back);  // it is out: its answer may still come
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
  CHECK(d[0].kind == Decision::Kind::hold_back);
  CHECK(d[1].kind == Decision::Kind::keep);
  // The first child's answer still counts, and nothing of what replaced it may count again.
  CHECK(p.coverage.take({0, 40}));
  CHECK_FALSE(p.coverage.take({0, 10}));
  CHECK_FALSE(p.coverage.take({0, 100}));
}

TEST_CASE("a merge: both halves out are left to end, waiting ones are joined, a mixed pair is not") {
  RangeMap map = small();
  Plan p = planned(map, {{100, 300}});
  map = after(map, Merge{{1, 100}, {2, 200}, 4, {}});
  auto both_out = replan(map, p.coverage, {{0, true, p.parts[0]}, {1, true, p.parts[1]}});
  REQUIRE(both_out.size() == 2);
  CHECK(both_out[0].kind == Decision::Kind::elsewhere);
  CHECK(both_out[1].kind == Decision::Kind::elsewhere);
  CHECK(both_out[0].successors[0].span == Span{100, 200});
  auto both_wait = replan(map, p.coverage, {{0, false, p.parts[0]}, {1, false, p.parts[1]}});
  REQUIRE(both_wait.size() == 1);
  CHECK(both_wait[0].kind == Decision::Kind::join);
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
  CHECK(c.take({0, 50}));
  CHECK_FALSE(c.take({0, 100}));  // the parent, after a child
  CHECK_FALSE(c.take({0, 50}));   // a duplicate
  CHECK(c.take({50, 100}));
  CHECK(c.in_share() == doctest::Approx(1.0 / 3));
  CHECK(c.take({100, 200}));
  CHECK_FALSE(c.take({100, 150}));  // a child, after its parent
  CHECK_FALSE(c.whole());
  CHECK(c.to_ask().spans() == std::vector<Span>{{200, 300}});
  CHECK_FALSE(c.take({200, 301}));  // reaches outside the query
  CHECK(c.take({200, 300}));
  CHECK(c.whole());
  CHECK(c.in_share() == 1);
}

TEST_CASE("shares are those of the plan, though weights shift under it") {
  RangeMap map = map_of(
      {{0, {0, 100}, 7, held({"a"})}, {1, {100, 200}, 3, held({"a"})}, {2, {200, kKeyEnd}, 1, held({"a"})}});
  Plan p = planned(map, {{0, 200}});
  CHECK(p.parts[0].weight == doctest::Approx(0.7));
  // The first range, 70% of the report when it was asked for, becomes light and is split.
  map = after(map, Weigh{{0, 0}, 0.1});
  map = after(map, Split{{0, 0}, 50, 3, 4, 0.01, 0.09});
  auto d = replan(map, p.coverage, {{0, false, p.parts[0]}, {1, false, p.parts[1]}});
  REQUIRE(d[0].kind == Decision::Kind::replace);
  CHECK(d[0].successors[0].weight == doctest::Approx(0.35));
  CHECK(d[0].successors[1].weight == doctest::Approx(0.35));
  CHECK(p.coverage.take({0, 50}));
  CHECK(p.coverage.take({50, 100}));
  CHECK(p.coverage.in_share() == doctest::Approx(0.7));
}

TEST_CASE("not mine: a node behind gets a moment, one ahead sends us to the directory") {
  RangeMap map = small().at({1, 5}, 4);
  Plan p = planned(map, {{0, 100}});
  OpenPart part{0, false, p.parts[0]};
  auto behind = not_mine(map, p.coverage, part, {{1, 3}, {}});
  CHECK_FALSE(behind.ask_directory);
  CHECK_FALSE(behind.decision);
  auto ahead = not_mine(map, p.coverage, part, {{1, 6}, {}});
  CHECK(ahead.ask_directory);
  CHECK_FALSE(ahead.decision);
  auto later_begin = not_mine(map, p.coverage, part, {{2, 1}, {}});
  CHECK(later_begin.ask_directory);
  SUBCASE("successors that cover the part are used") {
    NotMine word{{1, 6}, {{{0, 60}, 8, {}, held({"c"}), 0, {}}, {{60, 100}, 9, {}, held({"d"}), 0, {}}}};
    auto a = not_mine(map, p.coverage, part, word);
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
      auto a = not_mine(map, p.coverage, part, {{1, 6}, bad});
      CHECK(a.ask_directory);
      CHECK_FALSE(a.decision);
    }
  }
  SUBCASE("a node and a directory of one revision that contradict each other: the directory's word holds") {
    auto a = not_mine(map, p.coverage, part, {{1, 5}, {{{0, 100}, 8, {}, held({"c"}), 0, {}}}});
    CHECK(a.ask_directory);
    CHECK_FALSE(a.decision);
  }
  SUBCASE("the map has moved on since the part was planned: that is the answer") {
    RangeMap now = after(map, Split{{0, 0}, 50, 4, 5, 1, 1});
    auto a = not_mine(now, p.coverage, part, {{1, 6}, {}});
    REQUIRE(a.decision);
    CHECK(a.decision->kind == Decision::Kind::replace);
  }
}

TEST_CASE("the follower takes changes in order and refuses a gap, what is stale, and what is impossible") {
  Follower f;
  CHECK(f.wants_whole());
  auto whole = [&](Revision r) {
    Update u;
    u.revision = r;
    u.complete = true;
    u.ranges = small().all();
    return u;
  };
  auto changes = [&](Revision r, std::vector<Change> list) {
    Update u;
    u.revision = r;
    u.changes = std::move(list);
    return u;
  };
  f.opened(0);
  CHECK(f.take(changes({3, 7}, {Weigh{{0, 0}, 2}}), 1) == Taken::gap);
  CHECK(f.wants_reopen());
  f.reopening(1, 0.5);
  CHECK(f.ask_at() > 1);  // not at once: a directory that speaks nonsense is not asked without end
  f.opened(50);
  CHECK(f.take(whole({3, 7}), 50) == Taken::taken);
  CHECK(f.take(changes({3, 8}, {Weigh{{0, 0}, 2}}), 51) == Taken::taken);
  CHECK(f.map().revision() == Revision{3, 8});
  CHECK(f.take(changes({3, 8}, {Weigh{{0, 0}, 2}}), 52) == Taken::nothing);
  // Two of which one is held already.
  CHECK(f.take(changes({3, 9}, {Weigh{{0, 0}, 2}, Weigh{{0, 0}, 3}}), 53) == Taken::taken);
  CHECK(f.map().find(0).weight == 3);
  CHECK(f.take(changes({3, 12}, {Weigh{{0, 0}, 4}}), 54) == Taken::gap);
  CHECK(f.map().find(0).weight == 3);
  f.reopening(54, 0.5);
  f.opened(60);
  CHECK(f.take(whole({2, 99}), 61) == Taken::stale);
  CHECK(f.fault().find("older incarnation") != std::string::npos);
  CHECK(f.map().revision() == Revision{3, 9});
  // One change of a line is impossible: none of the line is taken.
  CHECK(f.take(changes({3, 11}, {Weigh{{0, 0}, 5}, Remove{{0, 0}, "zz"}}), 62) == Taken::impossible);
  CHECK(f.map().find(0).weight == 3);
  CHECK(f.wants_whole());
  f.reopening(62, 0.5);
  f.opened(200);
  CHECK(f.take(whole({3, 11}), 201) == Taken::taken);
  CHECK_FALSE(f.wants_whole());
  CHECK(f.take(whole({4, 1}), 202) == Taken::taken);
}

TEST_CASE("a directory that comes back with an older revision is not believed until it is newer and whole") {
  Follower f;
  f.opened(0);
  Update u;
  u.revision = {1, 50};
  u.complete = true;
  u.ranges = small().all();
  CHECK(f.take(u, 0) == Taken::taken);
  u.revision = {1, 45};
  CHECK(f.take(u, 10) == Taken::stale);
  // It counts on from there: its 51 is not ours.
  Update c;
  c.revision = {1, 51};
  c.changes = {Weigh{{0, 0}, 9}};
  CHECK(f.take(c, 20) == Taken::gap);
  CHECK(f.map().find(0).weight == 1);
  u.revision = {1, 51};
  CHECK(f.take(u, 30) == Taken::taken);
}

TEST_CASE("a map in pages is taken with its last page, and a broken one leaves nothing behind") {
  Follower f;
  f.opened(0);
  auto all = even(9);
  auto page = [&](std::size_t from, std::size_t to, bool more, std::uint64_t number = 4) {
    Update u;
    u.revision = {1, number};
    u.complete = true;
    u.more = more;
    u.ranges.assign(all.begin() + static_cast<long>(from), all.begin() + static_cast<long>(to));
    return u;
  };
  CHECK(f.take(page(0, 3, true), 0) == Taken::page);
  CHECK(f.map().empty());
  f.broke(1, 0.5);  // in the middle of it
  f.opened(60);
  CHECK(f.take(page(0, 3, true), 60) == Taken::page);
  CHECK(f.take(page(3, 6, true, 5), 61) == Taken::page);  // another revision begins in between
  CHECK(f.take(page(6, 9, false, 5), 62) == Taken::impossible);
  f.reopening(62, 0.5);
  f.opened(300);
  CHECK(f.take(page(0, 3, true, 6), 300) == Taken::page);
  CHECK(f.take(page(3, 9, false, 6), 301) == Taken::taken);
  CHECK(f.map().size() == 9);
}

TEST_CASE("a directory that is away is asked again, each time later, and at once where a node is ahead") {
  Follower f;
  double last = 0;
  for (int i = 0; i < 12; ++i) {
    f.broke(1000, 0.0);
    CHECK(f.ask_at() - 1000 >= last);
    last = f.ask_at() - 1000;
  }
  CHECK(last <= Follower::kLongestWait);
  f.refresh(1000);
  CHECK(f.ask_at() == 1000);
  f.opened(1000);
  CHECK_FALSE(f.silent(1000 + Follower::kSilence));
  CHECK(f.silent(1001 + Follower::kSilence));
  f.refresh(1050);  // a burst is one question
  CHECK_FALSE(f.wants_reopen());
  f.refresh(1200);
  CHECK(f.wants_reopen());
}

TEST_CASE("a flood of a thousand changes, and a map with a million ranges") {
  RangeMap map = map_of(even(1'000'000));
  CHECK(map.size() == 1'000'000);
  RangeMap before = map;
  RangeId next = map.next_id();
  for (int i = 0; i < 1000; ++i) {
    Place p = map.find(static_cast<Key>(i) * (kKeyEnd / 1000) + 5);
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
