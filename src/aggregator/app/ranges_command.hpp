// `winchhall ranges`: shows range maps, read from a file or requested once from a range directory.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/map.hpp"
#include "aggregator/ranges/planner.hpp"

namespace winchhall::app {

// Loads a map; `source` is a file, or the address of a range directory. Throws std::runtime_error with the
// reason if it can't be loaded.
ranges::RangeMap load_map(const std::string& source);

// Parses a span such as "17:40", with both keys as clients give them.
std::optional<ranges::Span> parse_span(const std::string& text);

// Text or JSON of the map's ranges that overlap `within`, and of a plan's parts.
std::string show_map(const ranges::RangeMap& map, const ranges::Span& within, bool as_json);
std::string show_plan(const ranges::Plan& plan, bool as_json);

// A line for each range that only `a` (-) or only `b` (+) has, or that differs between them (~). Empty if the
// maps are equal.
std::string diff_maps(const ranges::RangeMap& a, const ranges::RangeMap& b);

}  // namespace winchhall::app
