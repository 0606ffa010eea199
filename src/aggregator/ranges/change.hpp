// Changes of the map: each is checked against the map it is for, and is taken whole or refused with a reason.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "aggregator/ranges/map.hpp"

namespace winchhall::ranges {

// A range is named by its id and its first key: both must fit, so a change that was meant for another map is
// found at once.
struct Target {
  RangeId range = 0;
  Key from = 0;
};
struct Split {
  Target target{};
  Key at = 0;                   // inside the range: the right one begins here
  RangeId left = 0, right = 0;  // new ids
  double left_weight = 0, right_weight = 0;
};
struct Merge {
  Target left{}, right{};  // neighbours
  RangeId merged = 0;
  Holders holders{};  // empty: those that both have, in the lesser of their two roles
};
struct AddHolder {  // begins to copy
  Target target{};
  std::string server{};
};
struct Promote {  // has all of it now (copying), or stays after all (leaving): serving
  Target target{};
  std::string server{};
};
struct Retire {  // serving to leaving
  Target target{};
  std::string server{};
};
struct Remove {
  Target target{};
  std::string server{};
};
struct SetWeight {
  Target target{};
  double weight = 0;
};
using Change = std::variant<Split, Merge, AddHolder, Promote, Retire, Remove, SetWeight>;

const char* name_of(const Change& change);

// The map after the change, at the next revision. Nothing, and the reason, where the change is impossible.
std::optional<RangeMap> apply(const RangeMap& map, const Change& change, std::string& fault);

}  // namespace winchhall::ranges
