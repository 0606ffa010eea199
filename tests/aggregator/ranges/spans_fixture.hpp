// Maps of a few ranges, and changes to them, for the tests of queries over spans of accounts.
#pragma once

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "aggregator/ranges/change.hpp"
#include "aggregator/ranges/map.hpp"

namespace winchhall::ranges::testing {

inline HoldersPtr serving_holders(std::vector<std::string> servers) {
  Holders list;
  for (auto& s : servers) list.push_back({s, Role::serving});
  return std::make_shared<const Holders>(std::move(list));
}

// Three ranges of 100 keys each and one with all other keys, each served by a and b.
inline RangeMap four_ranges(Revision revision = {1, 5}) {
  std::string why;
  auto map = RangeMap::build(revision,
                             {{0, {0, 100}, 1, serving_holders({"a", "b"})},
                              {1, {100, 200}, 1, serving_holders({"a", "b"})},
                              {2, {200, 300}, 1, serving_holders({"a", "b"})},
                              {3, {300, kKeyEnd}, 1, serving_holders({"a", "b"})}},
                             why);
  REQUIRE_MESSAGE(map, why);
  return *map;
}

inline RangeMap apply_change(const RangeMap& map, const Change& change) {
  std::string why;
  auto next = apply(map, change, why);
  REQUIRE_MESSAGE(next, why);
  return *next;
}

inline RangeMap apply_changes(RangeMap map, const std::vector<Change>& changes) {
  for (const Change& c : changes) map = apply_change(map, c);
  return map;
}

inline const Change kSplitFirstRange = Split{{0, 0}, 40, 4, 5, 1, 1};

}  // namespace winchhall::ranges::testing
