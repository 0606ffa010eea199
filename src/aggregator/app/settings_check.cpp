#include "aggregator/app/settings_check.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace winchhall::app {
namespace {

using nlohmann::json;

// Keys that the wire's page says may be absent; a file may leave out or add them without being cut.
bool optional_key(const std::string& key) {
  static const char* const kOptional[] = {"aim_stretch", "warm_keys", "extra_floor", "extra_share",
                                          "resend_span", "known",     "seed",        "control",
                                          "name",        "fleet"};
  return std::any_of(std::begin(kOptional), std::end(kOptional), [&](const char* k) { return key == k; });
}

const char* kind_of(const json& v) {
  return v.is_object()    ? "an object"
         : v.is_array()   ? "a list"
         : v.is_string()  ? "text"
         : v.is_boolean() ? "yes or no"
         : v.is_number()  ? "a number"
                          : "nothing";
}

std::string shown(const json& v) {
  return v.dump(-1, ' ', true, json::error_handler_t::replace).substr(0, 60);
}

std::string keys_missing(const json& old, const json& fresh, const std::string& path) {
  if (std::string(kind_of(old)) != kind_of(fresh))
    return path + " is " + (fresh.is_null() ? "nothing" : shown(fresh)) + ": wanted is " + kind_of(old);
  if (old.is_object()) {
    for (const auto& [key, value] : old.items()) {
      std::string at = path.empty() ? key : path + "." + key;
      if (value.is_null() || (optional_key(key) && !fresh.contains(key))) continue;
      if (!fresh.contains(key)) return at + " is missing: wanted is " + kind_of(value);
      if (std::string wrong = keys_missing(value, fresh[key], at); !wrong.empty()) return wrong;
    }
  }
  // Rows are of one form: each new one has what the first old one has.
  if (old.is_array() && !old.empty() && old[0].is_object())
    for (std::size_t i = 0; i < fresh.size(); ++i)
      if (std::string wrong = keys_missing(old[0], fresh[i], path + "[" + std::to_string(i) + "]");
          !wrong.empty())
        return wrong;
  return "";
}

std::string over_nought(const json& row, const char* key, const std::string& path) {
  if (!row.contains(key) || (row[key].is_number() && row[key].get<double>() > 0)) return "";
  return path + "." + key + " is " + shown(row[key]) + ": wanted is a number over 0";
}

}  // namespace

std::string json_fault(const std::string& text) {
  if (text.find_first_not_of(" \t\r\n") == std::string::npos) return "line 1: the file is empty";
  try {
    [[maybe_unused]] json parsed = json::parse(text);
  } catch (const json::parse_error& error) {
    std::size_t byte = std::min<std::size_t>(error.byte, text.size());
    auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(byte), '\n');
    return "line " + std::to_string(line) + ": the JSON ends or breaks at byte " + std::to_string(error.byte);
  }
  return "";
}

std::string unfit_to_replace(const std::string& old_text, const std::string& fresh_text) {
  if (std::string fault = json_fault(fresh_text); !fault.empty()) return fault;
  json old = json::parse(old_text, nullptr, false), fresh = json::parse(fresh_text, nullptr, false);
  if (std::string wrong = keys_missing(old, fresh, ""); !wrong.empty()) return wrong;
  const json none = json::object();
  const json settings = fresh.value("settings", none);
  const json services = settings.value("services", json::array());
  if (!services.is_array() || services.empty())
    return "settings.services is " + shown(services) + ": wanted is a class at least";
  for (std::size_t i = 0; i < services.size(); ++i) {
    std::string at = "settings.services[" + std::to_string(i) + "]";
    for (const char* key : {"objective", "hard_limit"})
      if (std::string wrong = over_nought(services[i], key, at); !wrong.empty()) return wrong;
    std::string semantics = services[i].value("semantics", "free");
    if (semantics != "free" && semantics != "guarded" && semantics != "single_shot")
      return at + ".semantics is '" + semantics + "': wanted is free, guarded or single_shot";
    for (std::size_t j = 0; j < i; ++j)
      if (services[j].value("name", "") == services[i].value("name", ""))
        return at + ".name is " + shown(services[i].value("name", "")) + ": another class has it already";
  }
  if (std::string wrong =
          over_nought(settings.value("permissions", none), "max_attempts", "settings.permissions");
      !wrong.empty())
    return wrong;
  const json extra = settings.value("extra", none);
  for (const char* key : {"need_by_class", "floor_by_class", "partial_earns"})
    if (extra.contains(key) && (!extra[key].is_array() || extra[key].size() != services.size()))
      return std::string("settings.extra.") + key + " has " + std::to_string(extra[key].size()) +
             " values: wanted is one for each of " + std::to_string(services.size()) + " classes";
  return "";
}

}  // namespace winchhall::app
