// `winchhall ranges`: looks at maps of ranges, in files or at a directory that is asked once.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aggregator/ranges/map.hpp"
#include "aggregator/ranges/planner.hpp"

namespace winchhall::app {

// `source` is a file, or a directory's address. Throws std::runtime_error that says what was wrong.
ranges::RangeMap load_map(const std::string& source);

// "17:40": both keys as a client gives them.
std::optional<ranges::Span> parse_span(const std::string& text);

std::string show_map(const ranges::RangeMap& map, const ranges::Span& within, bool as_json);
std::string show_plan(const ranges::Plan& plan, bool as_json);

// A line for each range that only one of them has (-, +), or that both have otherwise (~). Empty: the same.
std::string diff_maps(const ranges::RangeMap& a, const ranges::RangeMap& b);

}  // namespace winchhall::app
