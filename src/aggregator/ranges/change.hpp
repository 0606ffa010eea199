// Changes of a range map. Each is validated against the map and applied as a whole or not at all.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "aggregator/ranges/map.hpp"

namespace winchhall::ranges {

// Identifies a range by its id and its first key. Both must match, so that a change that was made for another
// map is detected.
struct Target {
  RangeId range = 0;
  Key from = 0;
};
// Replaces a range by two with the same holders.
struct Split {
  Target target{};
  Key at = 0;                   // first key of the right range; inside the range that is split
  RangeId left = 0, right = 0;  // ids that have never been used
  double left_weight = 0, right_weight = 0;
};
// Replaces two neighbouring ranges by one, whose weight is the sum of theirs.
struct Merge {
  Target left{}, right{};
  RangeId merged = 0;
  // The holders of the merged range; those with role `serving` must serve both ranges. Empty: the servers
  // that hold both. One with different roles is `copying` if it is that in either range, else `leaving`.
  Holders holders{};
};
// Adds a holder with role `copying`.
struct AddHolder {
  Target target{};
  std::string server{};
};
// Makes a holder `serving`: a copying one that has the whole range now, or a leaving one that stays.
struct Promote {
  Target target{};
  std::string server{};
};
// Makes a serving holder `leaving`.
struct Retire {
  Target target{};
  std::string server{};
};
// Removes a holder.
struct Remove {
  Target target{};
  std::string server{};
};
// Changes the weight of a range.
struct SetWeight {
  Target target{};
  double weight = 0;
};
using Change = std::variant<Split, Merge, AddHolder, Promote, Retire, Remove, SetWeight>;

// The name of the change's type, as in the directory's protocol: "split", "weigh", ...
const char* name_of(const Change& change);

// Returns the map after the change, at the next revision; none if the change is impossible, for the reason in
// `fault`.
std::optional<RangeMap> apply(const RangeMap& map, const Change& change, std::string& fault);

}  // namespace winchhall::ranges
