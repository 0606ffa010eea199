#include "app/check_files.hpp"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>
#include <stdexcept>

#include "app/config.hpp"
#include "platform/range_words.hpp"

namespace winchhall::app {
namespace {

using nlohmann::json;

long line_at(const std::string& text, std::size_t at) {
  return 1 + std::count(text.begin(), text.begin() + static_cast<long>(std::min(at, text.size())), '\n');
}

long line_of(const std::string& text, const std::string& pattern) {
  std::smatch match;
  if (!std::regex_search(text, match, std::regex(pattern))) return 0;
  return line_at(text, static_cast<std::size_t>(match.position()));
}

// Our own faults name a key or a range's id; the line is where the file has it first.
long line_of_fault(const std::string& text, const std::string& what) {
  std::smatch match;
  if (std::regex_search(what, match, std::regex("'([A-Za-z_]+)'")))
    if (long line = line_of(text, "\"" + match[1].str() + "\"\\s*:")) return line;
  if (std::regex_search(what, match, std::regex("range ([0-9]+) ")))
    return line_of(text, "\"id\"\\s*:\\s*" + match[1].str() + "\\b");
  if (std::regex_search(what, match, std::regex("ranges\\[([0-9]+)\\]"))) {
    std::size_t at = 0;
    for (long n = std::stol(match[1].str()); n >= 0; --n) {
      std::size_t next = text.find("\"id\"", at);
      if (next == std::string::npos) break;
      at = next + 1;
    }
    return line_at(text, at);
  }
  return 0;
}

Checked check_json(const std::string& path, const std::string& text) {
  json from;
  try {
    from = json::parse(text);
  } catch (const json::parse_error& error) {
    return {"JSON", {{path, line_at(text, error.byte), error.what()}}};
  }
  if (!from.is_object()) return {"JSON", {{path, 1, "an object is wanted"}}};
  Checked c;
  std::string what;
  if (from.contains("ranges")) {
    c.kind = "map of ranges";
    if (auto update = platform::read_update(text, what))
      ranges::RangeMap::build(update->revision, std::move(update->ranges), what);
  } else if (from.contains("settings")) {
    c.kind = "configuration";
    try {
      if (!parse_config(text).known_read) what = "'known' is no list of servers";
    } catch (const std::exception& error) {
      what = error.what();
    }
  } else {
    c.kind = "old Flight file";
    try {
      FlightConfig flight;
      parse_flight_config(text, flight);
    } catch (const std::exception& error) {
      what = error.what();
    }
  }
  if (!what.empty()) c.faults.push_back({path, line_of_fault(text, what), what});
  return c;
}

}  // namespace

std::string read_text(const std::string& path, std::string& why) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream all;
  all << file.rdbuf();
  if (!file.is_open() || file.bad()) why = "cannot be read";
  return all.str();
}

Checked check_file(const std::string& path) {
  std::string why;
  std::string text = read_text(path, why);
  if (!why.empty()) return {"", {{path, 0, why}}};
  std::size_t first = text.find_first_not_of(" \t\r\n\xef\xbb\xbf");
  if (first == std::string::npos) return {"", {{path, 0, "is empty"}}};
  if (text[first] != '<') return check_json(path, text);
  OperatorSettings settings;
  return {"operator file", read_operator_file(path, settings)};
}

}  // namespace winchhall::app
