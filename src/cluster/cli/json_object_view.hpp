// Lenient access to the fields of JSON objects.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace winchhall::cluster {

// View of a JSON value as an object. A field that is missing or of another type reads as zero, false or
// empty, and a value that is not an object has no fields, so that responses of other versions of the program
// can be read. The value must outlive the view.
class JsonObjectView {
 public:
  explicit JsonObjectView(const boost::json::value& value) : object_(value.if_object()) {}

  // Value of a field of the given type, or the default for that type.
  std::string text(std::string_view name) const;
  std::uint64_t number(std::string_view name) const;
  bool flag(std::string_view name) const;
  boost::json::array list(std::string_view name) const;
  JsonObjectView object(std::string_view name) const;

 private:
  const boost::json::value* find(std::string_view name) const;

  const boost::json::object* object_;
};

}  // namespace winchhall::cluster
