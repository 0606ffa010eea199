#include "cluster/cli/json_object_view.hpp"

namespace winchhall::cluster {

namespace json = boost::json;

std::string JsonObjectView::text(std::string_view name) const {
  const json::value* value = find(name);
  const json::string* text = value ? value->if_string() : nullptr;
  return text ? std::string(*text) : std::string();
}

std::uint64_t JsonObjectView::number(std::string_view name) const {
  const json::value* value = find(name);
  if (!value) return 0;
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

bool JsonObjectView::flag(std::string_view name) const {
  const json::value* value = find(name);
  const bool* flag = value ? value->if_bool() : nullptr;
  return flag && *flag;
}

json::array JsonObjectView::list(std::string_view name) const {
  const json::value* value = find(name);
  const json::array* list = value ? value->if_array() : nullptr;
  return list ? *list : json::array();
}

JsonObjectView JsonObjectView::object(std::string_view name) const {
  static const json::value kNone;
  const json::value* value = find(name);
  return JsonObjectView(value ? *value : kNone);
}

const json::value* JsonObjectView::find(std::string_view name) const {
  return object_ ? object_->if_contains(name) : nullptr;
}

}  // namespace winchhall::cluster
