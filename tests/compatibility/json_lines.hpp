// Flattens JSON texts into lines of key paths, to be compared with a recorded list.
#pragma once

#include <boost/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace winchhall::compatibility {

enum class JsonDetail {
  values,  // "path = value"; elements of lists are numbered
  types    // "path: type"; elements of lists have no index
};

// Adds a line for each value in `json` that is not an object or list, and one for each empty object or list.
// `path` is the path of `json` itself, empty at the top level.
inline void add_json_lines(const boost::json::value& json, const std::string& path, JsonDetail detail,
                           std::vector<std::string>& lines) {
  const bool has_fields = json.is_object() && !json.get_object().empty();
  const bool has_items = json.is_array() && !json.get_array().empty();
  if (has_fields) {
    for (const auto& [key, value] : json.get_object()) {
      const std::string name(key.data(), key.size());
      add_json_lines(value, path.empty() ? name : path + "." + name, detail, lines);
    }
  } else if (has_items) {
    std::size_t number = 0;
    for (const auto& value : json.get_array()) {
      const std::string index = detail == JsonDetail::values ? std::to_string(number) : "";
      add_json_lines(value, path + "[" + index + "]", detail, lines);
      ++number;
    }
  } else if (detail == JsonDetail::values) {
    lines.push_back(path + " = " + boost::json::serialize(json));
  } else {
    std::string type = json.is_number()   ? "number"
                       : json.is_bool()   ? "bool"
                       : json.is_string() ? "text"
                                          : "null";
    if (json.is_object()) type = "empty object";
    if (json.is_array()) type = "empty list";
    lines.push_back(path + ": " + type);
  }
}

// The lines of a JSON text. Throws std::runtime_error if it can't be parsed.
inline std::vector<std::string> json_lines(const std::string& text, JsonDetail detail) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) throw std::runtime_error("no JSON: " + text);
  std::vector<std::string> lines;
  add_json_lines(json, "", detail, lines);
  return lines;
}

}  // namespace winchhall::compatibility
