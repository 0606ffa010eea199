// Reads JSON texts and their fields with checks of type and range. Every failure is an InvalidInput that
// names the field, what was found and what is allowed.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// Where a field stands: the message, and the path of the object that holds the field.
struct FieldScope {
  std::string source;
  std::string path;  // empty: the top of the message

  // Path of a field of this object.
  std::string field(std::string_view name) const;
  // Scope of an object or a list that is a field of this one.
  FieldScope child(std::string_view name) const { return {source, field(name)}; }
  // Scope of an item of this list.
  FieldScope item(unsigned position) const;
};

// What a whole number may be.
struct IntegerRange {
  std::uint64_t least = 0;
  std::uint64_t most = 0;
  std::optional<std::uint64_t>
      default_value;  // taken where the field is missing; none: the field is required
};

// An error about a field; `value` is null where the field is missing.
leaf::error_id invalid_field(const FieldScope& scope, std::string_view name, const Json::Value& value,
                             std::string allowed);

// Reads a text that holds one JSON object and nothing else. Duplicate keys and broken UTF-8 are refused.
leaf::result<Json::Value> parse_json_object(std::string_view text, std::string_view source);
// Writes compact JSON; numbers keep their values.
std::string write_json(const Json::Value& value);

leaf::result<std::string> required_string(const FieldScope& scope, const Json::Value& object,
                                          const char* name);
// Empty where the field is missing.
leaf::result<std::string> optional_string(const FieldScope& scope, const Json::Value& object,
                                          const char* name);
leaf::result<std::uint64_t> integer_field(const FieldScope& scope, const Json::Value& object,
                                          const char* name, const IntegerRange& range);
// `fallback` where the field is missing.
leaf::result<bool> optional_bool(const FieldScope& scope, const Json::Value& object, const char* name,
                                 bool default_value);
// A finite number from 0 to `most`; `fallback` where the field is missing.
leaf::result<double> optional_number(const FieldScope& scope, const Json::Value& object, const char* name,
                                     double most, double default_value);
// A list (null where the field is missing and not required), and an object likewise.
leaf::result<const Json::Value*> list_field(const FieldScope& scope, const Json::Value& object,
                                            const char* name, bool required);
leaf::result<const Json::Value*> object_field(const FieldScope& scope, const Json::Value& object,
                                              const char* name);

}  // namespace winchhall::cluster
