#include "aggregator/app/settings_check.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace winchhall::app {
namespace {

using nlohmann::json;

// Keys that the protocol allows to be absent; a file without them is not taken for a truncated one.
bool is_optional_key(const std::string& key) {
  static const char* const kOptional[] = {"aim_stretch", "warm_keys", "extra_floor", "extra_share",
                                          "resend_span", "known",     "seed",        "control",
                                          "name",        "fleet"};
  return std::any_of(std::begin(kOptional), std::end(kOptional), [&](const char* k) { return key == k; });
}

const char* type_name(const json& v) {
  return v.is_object()    ? "an object"
         : v.is_array()   ? "a list"
         : v.is_string()  ? "a string"
         : v.is_boolean() ? "a boolean"
         : v.is_number()  ? "a number"
                          : "null";
}

std::string excerpt(const json& v) {
  return v.dump(-1, ' ', true, json::error_handler_t::replace).substr(0, 60);
}

std::string structure_fault(const json& current, const json& fresh, const std::string& path) {
  if (std::string(type_name(current)) != type_name(fresh))
    return path + " is " + (fresh.is_null() ? "null" : excerpt(fresh)) + ": expected " + type_name(current);
  if (current.is_object()) {
    for (const auto& [key, value] : current.items()) {
      std::string at = path.empty() ? key : path + "." + key;
      if (value.is_null() || (is_optional_key(key) && !fresh.contains(key))) continue;
      if (!fresh.contains(key)) return at + " is missing: expected " + type_name(value);
      if (std::string fault = structure_fault(value, fresh[key], at); !fault.empty()) return fault;
    }
  }
  // All rows have the same keys: each new row must have those of the first current one.
  if (current.is_array() && !current.empty() && current[0].is_object())
    for (std::size_t i = 0; i < fresh.size(); ++i)
      if (std::string fault = structure_fault(current[0], fresh[i], path + "[" + std::to_string(i) + "]");
          !fault.empty())
        return fault;
  return "";
}

std::string positive_number_fault(const json& row, const char* key, const std::string& path) {
  if (!row.contains(key) || (row[key].is_number() && row[key].get<double>() > 0)) return "";
  return path + "." + key + " is " + excerpt(row[key]) + ": expected a number above 0";
}

}  // namespace

std::string json_fault(const std::string& text) {
  if (text.find_first_not_of(" \t\r\n") == std::string::npos) return "line 1: the file is empty";
  try {
    [[maybe_unused]] json parsed = json::parse(text);
  } catch (const json::parse_error& error) {
    std::size_t byte = std::min<std::size_t>(error.byte, text.size());
    auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(byte), '\n');
    return "line " + std::to_string(line) + ": malformed or truncated JSON at byte " +
           std::to_string(error.byte);
  }
  return "";
}

std::string incompatible_setting(const std::string& current_text, const std::string& new_text) {
  if (std::string fault = json_fault(new_text); !fault.empty()) return fault;
  json current = json::parse(current_text, nullptr, false), fresh = json::parse(new_text, nullptr, false);
  if (std::string fault = structure_fault(current, fresh, ""); !fault.empty()) return fault;
  const json none = json::object();
  const json settings = fresh.value("settings", none);
  const json services = settings.value("services", json::array());
  if (!services.is_array() || services.empty())
    return "settings.services is " + excerpt(services) + ": expected at least one class";
  for (std::size_t i = 0; i < services.size(); ++i) {
    std::string at = "settings.services[" + std::to_string(i) + "]";
    for (const char* key : {"objective", "hard_limit"})
      if (std::string fault = positive_number_fault(services[i], key, at); !fault.empty()) return fault;
    std::string semantics = services[i].value("semantics", "free");
    if (semantics != "free" && semantics != "guarded" && semantics != "single_shot")
      return at + ".semantics is '" + semantics + "': expected free, guarded or single_shot";
    for (std::size_t j = 0; j < i; ++j)
      if (services[j].value("name", "") == services[i].value("name", ""))
        return at + ".name is " + excerpt(services[i].value("name", "")) +
               ": another class has the same name";
  }
  if (std::string fault =
          positive_number_fault(settings.value("permissions", none), "max_attempts", "settings.permissions");
      !fault.empty())
    return fault;
  const json extra = settings.value("extra", none);
  for (const char* key : {"need_by_class", "floor_by_class", "partial_earns"})
    if (extra.contains(key) && (!extra[key].is_array() || extra[key].size() != services.size()))
      return std::string("settings.extra.") + key + " has " + std::to_string(extra[key].size()) +
             " values: expected one for each of " + std::to_string(services.size()) + " classes";
  return "";
}

}  // namespace winchhall::app
