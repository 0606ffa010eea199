#include "aggregator/app/check_files.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

#include "aggregator/app/config.hpp"
#include "aggregator/http/range_protocol.hpp"

namespace winchhall::app {
namespace {

using nlohmann::json;

long line_at(const std::string& text, std::size_t at) {
  return 1 + std::count(text.begin(), text.begin() + static_cast<long>(std::min(at, text.size())), '\n');
}

// Position of a JSON key in a text and of the value after its colon; npos if the key wasn't found.
struct KeyPlace {
  std::size_t at = std::string::npos, value = std::string::npos;
};
// The first occurrence of the key at or after `from`.
KeyPlace find_key(const std::string& text, const std::string& key, std::size_t from = 0) {
  std::string quoted = "\"" + key + "\"";
  for (std::size_t at = from; (at = text.find(quoted, at)) != std::string::npos; ++at) {
    std::size_t colon = text.find_first_not_of(" \t\r\n", at + quoted.size());
    if (colon != std::string::npos && text[colon] == ':')
      return {at, text.find_first_not_of(" \t\r\n", colon + 1)};
  }
  return {};
}

// The number that follows the first occurrence of `prefix`.
std::optional<unsigned long long> number_after(const std::string& text, const std::string& prefix) {
  std::size_t at = text.find(prefix);
  if (at == std::string::npos) return std::nullopt;
  const char* from = text.c_str() + at + prefix.size();
  char* end = nullptr;
  unsigned long long n = std::strtoull(from, &end, 10);
  return end == from ? std::nullopt : std::optional(n);
}

// The line that a fault's text refers to, or 0 if none is found. The texts name a key in quotes, a range by
// its id ("range 7"), or an index of a list ("ranges[3]").
long line_of_fault(const std::string& text, const std::string& what) {
  if (std::size_t open = what.find('\''); open != std::string::npos) {
    std::size_t close = what.find('\'', open + 1);
    if (close != std::string::npos)
      if (auto key = find_key(text, what.substr(open + 1, close - open - 1)); key.at != std::string::npos)
        return line_at(text, key.at);
  }
  if (auto id = number_after(what, "range "))
    for (KeyPlace key = find_key(text, "id"); key.value != std::string::npos;
         key = find_key(text, "id", key.at + 1))
      if (std::strtoull(text.c_str() + key.value, nullptr, 10) == *id) return line_at(text, key.at);
  if (auto place = number_after(what, "ranges[")) {
    KeyPlace key = find_key(text, "id");
    for (unsigned long long n = 0; n < *place && key.at != std::string::npos; ++n)
      key = find_key(text, "id", key.at + 1);
    if (key.at != std::string::npos) return line_at(text, key.at);
  }
  return 0;
}

CheckedFile check_json(const std::string& path, const std::string& text) {
  json from;
  try {
    from = json::parse(text);
  } catch (const json::parse_error& error) {
    return {"JSON", {{path, line_at(text, error.byte), error.what()}}};
  }
  if (!from.is_object()) return {"JSON", {{path, 1, "an object is wanted"}}};
  CheckedFile checked;
  std::string what;
  if (from.contains("ranges")) {
    checked.kind = "map of ranges";
    if (auto update = http::read_update(text, what))
      ranges::RangeMap::build(update->revision, std::move(update->ranges), what);
  } else if (from.contains("settings")) {
    checked.kind = "configuration";
    try {
      if (!parse_config(text).initial_list_valid) what = "'known' is no list of servers";
    } catch (const std::exception& error) {
      what = error.what();
    }
  } else {
    checked.kind = "old Flight file";
    try {
      FlightConfig flight;
      parse_flight_config(text, flight);
    } catch (const std::exception& error) {
      what = error.what();
    }
  }
  if (!what.empty()) checked.faults.push_back({path, line_of_fault(text, what), what});
  return checked;
}

}  // namespace

std::string read_text(const std::string& path, std::string& why) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream all;
  all << file.rdbuf();
  if (!file.is_open() || file.bad()) why = "cannot be read";
  return all.str();
}

CheckedFile check_file(const std::string& path) {
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
