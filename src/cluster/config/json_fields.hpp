// Parsing of JSON objects and typed access to their fields. Every failure is an InvalidInput that names the
// field, the value found and the values allowed. A field with an explicit null counts as missing.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// The location of an object or a list within a message, for error reports.
struct FieldScope {
  std::string source;  // name of the message
  std::string path;    // e.g. "routes[3]"; empty: the top level

  // The path of a field of this object.
  std::string field(std::string_view name) const;
  // The scope of an object or a list that is a field of this object.
  FieldScope child(std::string_view name) const { return {source, field(name)}; }
  // The scope of an item of this list; positions begin at 0.
  FieldScope item(unsigned position) const;
};

// The values allowed for an integer field.
struct IntegerRange {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = 0;                   // inclusive
  std::optional<std::uint64_t> default_value;  // if the field is missing; none: the field is required
};

// Creates the InvalidInput for a field. An empty name stands for the scope itself, a null value for a missing
// field.
leaf::error_id invalid_field(const FieldScope& scope, std::string_view name, const Json::Value& value,
                             std::string allowed);

// Parses a text that consists of exactly one JSON object. Duplicate keys and invalid UTF-8 are errors.
leaf::result<Json::Value> parse_json_object(std::string_view text, std::string_view source);
// Serializes compact JSON; parsing it again yields the same numbers.
std::string write_json(const Json::Value& value);

// Must be present and not empty.
leaf::result<std::string> required_string(const FieldScope& scope, const Json::Value& object,
                                          const char* name);
// Empty if the field is missing.
leaf::result<std::string> optional_string(const FieldScope& scope, const Json::Value& object,
                                          const char* name);
leaf::result<std::uint64_t> integer_field(const FieldScope& scope, const Json::Value& object,
                                          const char* name, const IntegerRange& range);
leaf::result<bool> optional_bool(const FieldScope& scope, const Json::Value& object, const char* name,
                                 bool default_value);
// A finite number from 0 to `maximum`.
leaf::result<double> optional_number(const FieldScope& scope, const Json::Value& object, const char* name,
                                     double maximum, double default_value);
// Null if the field is missing and not required. The result is valid as long as `object`.
leaf::result<const Json::Value*> list_field(const FieldScope& scope, const Json::Value& object,
                                            const char* name, bool required);
// Null if the field is missing. The result is valid as long as `object`.
leaf::result<const Json::Value*> object_field(const FieldScope& scope, const Json::Value& object,
                                              const char* name);

}  // namespace winchhall::cluster
