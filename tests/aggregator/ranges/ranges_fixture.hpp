// Maps, changes and a plain model of the map, for the tests of ranges.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "aggregator/ranges/change.hpp"
#include "aggregator/ranges/map.hpp"
#include "aggregator/ranges/planner.hpp"

namespace winchhall::ranges::testing {

inline HoldersPtr held(std::initializer_list<const char*> serving) {
  Holders list;
  for (const char* s : serving) list.push_back({s, Role::serving});
  return std::make_shared<const Holders>(list);
}

inline std::vector<Range> even(std::size_t count, HoldersPtr holders = held({"a", "b"})) {
  std::vector<Range> list;
  for (std::size_t i = 0; i < count; ++i) {
    Key from = kKeyEnd / count * i, to = i + 1 == count ? kKeyEnd : kKeyEnd / count * (i + 1);
    list.push_back({i, {from, to}, 1.0, holders});
  }
  return list;
}

inline RangeMap map_of(std::vector<Range> ranges, Revision revision = {1, 1}) {
  std::string why;
  auto map = RangeMap::build(revision, std::move(ranges), why);
  REQUIRE_MESSAGE(map, why);
  return *map;
}

// Three ranges of 100 keys each, and the rest.
inline RangeMap small() {
  return map_of({{0, {0, 100}, 1, held({"a", "b"})},
                 {1, {100, 200}, 1, held({"b", "c"})},
                 {2, {200, 300}, 1, held({"b", "c"})},
                 {3, {300, kKeyEnd}, 1, held({"a", "c"})}});
}

inline RangeMap after(const RangeMap& map, const Change& change) {
  std::string why;
  auto next = apply(map, change, why);
  REQUIRE_MESSAGE(next, why);
  return *next;
}

inline std::string refused(const RangeMap& map, const Change& change) {
  std::string why;
  CHECK_FALSE(apply(map, change, why));
  CHECK(!why.empty());
  return why;
}

inline std::string wrong(std::vector<Range> ranges) {
  std::string why;
  CHECK_FALSE(RangeMap::build({1, 1}, std::move(ranges), why));
  return why;
}

inline Plan planned(const RangeMap& map, std::vector<Span> spans) {
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

inline Plain plain(const RangeMap& map) {
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

inline const char* const kServers[] = {"a", "b", "c", "d", "e"};

// One change, drawn so that about half of them are possible, and whether the model takes it.
inline Change draw(Dice& d, Plain& model, RangeId next, bool& possible) {
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
      return SetWeight{target, weight};
    }
  }
}

}  // namespace winchhall::ranges::testing
