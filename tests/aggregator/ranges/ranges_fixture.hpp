// Maps, changes and a reference model of the map for the tests of ranges.
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

inline HoldersPtr serving_holders(std::initializer_list<const char*> serving) {
  Holders list;
  for (const char* s : serving) list.push_back({s, Role::serving});
  return std::make_shared<const Holders>(list);
}

// `count` ranges of equal size.
inline std::vector<Range> even_ranges(std::size_t count, HoldersPtr holders = serving_holders({"a", "b"})) {
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

// Three ranges of 100 keys each, and one with all other keys.
inline RangeMap small_map() {
  return map_of({{0, {0, 100}, 1, serving_holders({"a", "b"})},
                 {1, {100, 200}, 1, serving_holders({"b", "c"})},
                 {2, {200, 300}, 1, serving_holders({"b", "c"})},
                 {3, {300, kKeyEnd}, 1, serving_holders({"a", "c"})}});
}

inline RangeMap apply_change(const RangeMap& map, const Change& change) {
  std::string why;
  auto next = apply(map, change, why);
  REQUIRE_MESSAGE(next, why);
  return *next;
}

// Checks that the change is rejected, and returns the reason.
inline std::string rejection_of(const RangeMap& map, const Change& change) {
  std::string why;
  CHECK_FALSE(apply(map, change, why));
  CHECK(!why.empty());
  return why;
}

// Checks that the ranges are no valid map, and returns the reason.
inline std::string build_fault(std::vector<Range> ranges) {
  std::string why;
  CHECK_FALSE(RangeMap::build({1, 1}, std::move(ranges), why));
  return why;
}

inline Plan make_plan(const RangeMap& map, std::vector<Span> spans) {
  std::string why;
  auto p = plan(map, spans, 100.0, 1000, why);
  REQUIRE_MESSAGE(p, why);
  return *p;
}

// Reference model of the map: a std::map, with an independent implementation of the rules for changes.

struct ReferenceMap {
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

inline ReferenceMap reference_of(const RangeMap& map) {
  ReferenceMap p;
  for (const Range& r : map.all()) {
    ReferenceMap::Row row{r.id, r.weight, {}};
    for (const Holder& h : *r.holders) row.holders[h.server] = h.role;
    p.rows[r.span.from] = row;
    p.used.insert(r.id);
  }
  return p;
}

// Random numbers of one step. Each element that rapidcheck generates is the seed of a step, so that shrinking
// removes steps.
struct RandomSource {
  explicit RandomSource(std::uint32_t seed) : engine(seed) {}
  std::size_t below(std::size_t n) { return n == 0 ? 0 : engine() % n; }
  bool one_in(std::size_t n) { return below(n) == 0; }
  std::mt19937 engine;
};

inline const char* const kServers[] = {"a", "b", "c", "d", "e"};

// Draws a change, of which about half are possible, sets `possible`, and applies a possible one to the model.
inline Change draw_change(RandomSource& d, ReferenceMap& model, RangeId next, bool& possible) {
  auto it = model.rows.begin();
  std::advance(it, static_cast<long>(d.below(model.rows.size())));
  ReferenceMap::Row& row = it->second;
  Key from = it->first, to = model.end(it);
  Target target{row.id, from};
  bool right_target = !d.one_in(8);
  if (!right_target) target.range += 1000;
  std::string server = kServers[d.below(std::size(kServers))];
  auto holder = row.holders.find(server);
  bool is_holder = holder != row.holders.end();
  bool is_last_serving = is_holder && holder->second == Role::serving && ReferenceMap::servers(row) == 1;
  switch (d.below(7)) {
    case 0: {
      Key at = d.one_in(6) ? from
                           : from + 1 + d.below(static_cast<std::size_t>(std::min<Key>(to - from, 1 << 20)));
      RangeId left = d.one_in(8) ? row.id : next, right = next + 1;
      possible = right_target && at > from && at < to && !model.used.count(left);
      if (possible) {
        ReferenceMap::Row l = row, r = row;
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
      bool not_adjacent = d.one_in(6);
      if (right != model.rows.end() && not_adjacent) right = std::next(right);
      if (right == model.rows.end()) {
        possible = false;
        return Merge{target, {999'999, 5}, next, {}};
      }
      ReferenceMap::Row merged{next, row.weight + right->second.weight, {}};
      for (const auto& [name, role] : row.holders)
        if (auto other = right->second.holders.find(name); other != right->second.holders.end()) {
          Role both = role == other->second ? role : Role::leaving;
          if (role == Role::copying || other->second == Role::copying) both = Role::copying;
          merged.holders[name] = both;
        }
      possible = right_target && !not_adjacent && ReferenceMap::servers(merged) > 0;
      Merge change{target, {right->second.id, right->first}, next, {}};
      if (possible) {
        model.rows.erase(right);
        model.rows[from] = merged;
        model.used.insert(next);
      }
      return change;
    }
    case 2:
      possible = right_target && !is_holder;
      if (possible) row.holders[server] = Role::copying;
      return AddHolder{target, server};
    case 3:
      possible = right_target && is_holder && holder->second != Role::serving;
      if (possible) holder->second = Role::serving;
      return Promote{target, server};
    case 4:
      possible = right_target && is_holder && holder->second == Role::serving && !is_last_serving;
      if (possible) holder->second = Role::leaving;
      return Retire{target, server};
    case 5:
      possible = right_target && is_holder && !is_last_serving;
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
