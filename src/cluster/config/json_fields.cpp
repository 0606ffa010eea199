#include "cluster/config/json_fields.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <cmath>
#include <memory>

#include "cluster/config/utf8.hpp"

namespace winchhall::cluster {
namespace {

constexpr std::size_t kMaxReportedValueBytes = 80;
constexpr unsigned kSignificantDigits = 17;  // enough to read any double back unchanged

// The value as JSON text, cut at kMaxReportedValueBytes; empty for null.
std::string abbreviated(const Json::Value& value) {
  if (value.isNull()) return {};
  std::string text = write_json(value);
  if (text.size() <= kMaxReportedValueBytes) return text;
  text.resize(kMaxReportedValueBytes);
  while (!is_valid_utf8(text)) text.pop_back();
  return text + "...";
}

leaf::error_id invalid_body(std::string_view source, std::string detail) {
  return leaf::new_error(
      InvalidInput{std::string(source), "body", std::move(detail), "one whole JSON object"});
}

std::unique_ptr<Json::CharReader> make_strict_reader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

// The null value if the field is missing.
const Json::Value& find_field(const Json::Value& object, const char* name) {
  const Json::Value* const found = object.find(name, name + std::char_traits<char>::length(name));
  return found != nullptr ? *found : Json::Value::nullSingleton();
}

std::string allowed_range(const IntegerRange& range) {
  return "a whole number from " + std::to_string(range.minimum) + " to " + std::to_string(range.maximum);
}

}  // namespace

std::string FieldScope::field(std::string_view name) const {
  if (path.empty()) return std::string(name);
  return path + "." + std::string(name);
}

FieldScope FieldScope::item(unsigned position) const {
  return {source, path + "[" + std::to_string(position) + "]"};
}

leaf::error_id invalid_field(const FieldScope& scope, std::string_view name, const Json::Value& value,
                             std::string allowed) {
  const std::string field = name.empty() ? scope.path : scope.field(name);
  return leaf::new_error(InvalidInput{scope.source, field, abbreviated(value), std::move(allowed)});
}

leaf::result<Json::Value> parse_json_object(std::string_view text, std::string_view source) {
  if (text.empty()) return invalid_body(source, "");
  if (!is_valid_utf8(text)) return invalid_body(source, "broken UTF-8");
  Json::Value root;
  std::string errors;
  try {
    if (!make_strict_reader()->parse(text.data(), text.data() + text.size(), &root, &errors)) {
      return invalid_body(source, errors.substr(0, kMaxReportedValueBytes));
    }
  } catch (const Json::Exception& exception) {  // JsonCpp throws on excessive nesting
    return invalid_body(source, exception.what());
  }
  if (!root.isObject()) return invalid_body(source, abbreviated(root));
  return root;
}

std::string write_json(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  builder["precision"] = kSignificantDigits;
  return Json::writeString(builder, value);
}

leaf::result<std::string> optional_string(const FieldScope& scope, const Json::Value& object,
                                          const char* name) {
  const Json::Value& value = find_field(object, name);
  if (value.isNull()) return std::string();
  if (!value.isString()) return invalid_field(scope, name, value, "a text");
  std::string text = value.asString();
  if (!is_valid_utf8(text)) return invalid_field(scope, name, Json::Value("broken UTF-8"), "a text in UTF-8");
  return text;
}

leaf::result<std::string> required_string(const FieldScope& scope, const Json::Value& object,
                                          const char* name) {
  BOOST_LEAF_AUTO(text, optional_string(scope, object, name));
  if (text.empty()) return invalid_field(scope, name, find_field(object, name), "a text that is not empty");
  return text;
}

leaf::result<std::uint64_t> integer_field(const FieldScope& scope, const Json::Value& object,
                                          const char* name, const IntegerRange& range) {
  const Json::Value& value = find_field(object, name);
  if (value.isNull() && range.default_value) return *range.default_value;
  if (value.isNull() || value.isBool() || !value.isUInt64()) {
    return invalid_field(scope, name, value, allowed_range(range));
  }
  const std::uint64_t number = value.asUInt64();
  if (number < range.minimum || number > range.maximum) {
    return invalid_field(scope, name, value, allowed_range(range));
  }
  return number;
}

leaf::result<bool> optional_bool(const FieldScope& scope, const Json::Value& object, const char* name,
                                 bool default_value) {
  const Json::Value& value = find_field(object, name);
  if (value.isNull()) return default_value;
  if (!value.isBool()) return invalid_field(scope, name, value, "true or false");
  return value.asBool();
}

leaf::result<double> optional_number(const FieldScope& scope, const Json::Value& object, const char* name,
                                     double maximum, double default_value) {
  const Json::Value& value = find_field(object, name);
  if (value.isNull()) return default_value;
  const bool number = value.isNumeric() && !value.isBool();
  if (!number || !std::isfinite(value.asDouble()) || value.asDouble() < 0 || value.asDouble() > maximum) {
    return invalid_field(scope, name, value, "a number from 0 to " + std::to_string(maximum));
  }
  return value.asDouble();
}

leaf::result<const Json::Value*> list_field(const FieldScope& scope, const Json::Value& object,
                                            const char* name, bool required) {
  const Json::Value& value = find_field(object, name);
  if (value.isNull() && !required) return nullptr;
  if (!value.isArray()) return invalid_field(scope, name, value, "a list");
  return &value;
}

leaf::result<const Json::Value*> object_field(const FieldScope& scope, const Json::Value& object,
                                              const char* name) {
  const Json::Value& value = find_field(object, name);
  if (value.isNull()) return nullptr;
  if (!value.isObject()) return invalid_field(scope, name, value, "an object");
  return &value;
}

}  // namespace winchhall::cluster
