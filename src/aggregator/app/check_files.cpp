#include "aggregator/app/check_files.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "aggregator/app/config.hpp"
#include "aggregator/http/range_words.hpp"

namespace winchhall::app {
namespace {

using nlohmann::json;

long line_at(const std::string& text, std::size_t at) {
  return 1 + std::count(text.begin(), text.begin() + static_cast<long>(std::min(at, text.size())), '\n');
}

// The first place behind `from` where the text has this key, with its value behind the colon.
struct KeyPlace {
  std::size_t at = std::string::npos, value = std::string::npos;
};
KeyPlace find_key(const std::string& text, const std::string& key, std::size_t from = 0) {
  std::string quoted = "\"" + key + "\"";
  for (std::size_t at = from; (at = text.find(quoted, at)) != std::string::npos; ++at) {
    std::size_t colon = text.find_first_not_of(" \t\r\n", at + quoted.size());
    if (colon != std::string::npos && text[colon] == ':')
      return {at, text.find_first_not_of(" \t\r\n", colon + 1)};
  }
  return {};
}

// The number behind these words.
std::optional<unsigned long long> number_behind(const std::string& text, const std::string& words) {
  std::size_t at = text.find(words);
  if (at == std::string::npos) return std::nullopt;
  const char* from = text.c_str() + at + words.size();
  char* end = nullptr;
  unsigned long long n = std::strtoull(from, &end, 10);
  return end == from ? std::nullopt : std::optional(n);
}

// Our own faults name a key in quotes, a range by its id, or a place in a list; the line is where the file
// has it.
long line_of_fault(const std::string& text, const std::string& what) {
  if (std::size_t open = what.find('\''); open != std::string::npos) {
    std::size_t close = what.find('\'', open + 1);
    if (close != std::string::npos)
      if (auto key = find_key(text, what.substr(open + 1, close - open - 1)); key.at != std::string::npos)
        return line_at(text, key.at);
  }
  if (auto id = number_behind(what, "range "))
    for (KeyPlace key = find_key(text, "id"); key.value != std::string::npos;
         key = find_key(text, "id", key.at + 1))
      if (std::strtoull(text.c_str() + key.value, nullptr, 10) == *id) return line_at(text, key.at);
  if (auto place = number_behind(what, "ranges[")) {
    KeyPlace key = find_key(text, "id");
    for (unsigned long long n = 0; n < *place && key.at != std::string::npos; ++n)
      key = find_key(text, "id", key.at + 1);
    if (key.at != std::string::npos) return line_at(text, key.at);
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
