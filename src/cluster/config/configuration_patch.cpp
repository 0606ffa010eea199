#include "cluster/config/configuration_patch.hpp"

#include <unordered_set>

#include "cluster/config/configuration.hpp"
#include "cluster/config/json_fields.hpp"

namespace winchhall::cluster {
namespace {

using Names = std::unordered_set<std::string>;

leaf::result<void> check_upsert_list(const FieldScope& scope, const Json::Value& items) {
  if (!items.isArray()) return invalid_field(scope, "", items, "a list of items");
  Names names;
  for (Json::ArrayIndex position = 0; position < items.size(); ++position) {
    const FieldScope item_scope = scope.item(position);
    if (!items[position].isObject()) return invalid_field(item_scope, "", items[position], "an object");
    BOOST_LEAF_AUTO(name, required_string(item_scope, items[position], "name"));
    if (!names.insert(name).second) return invalid_field(item_scope, "name", name, "each name once");
  }
  return {};
}

leaf::result<void> check_delete_list(const FieldScope& scope, const Json::Value& names) {
  if (!names.isArray()) return invalid_field(scope, "", names, "a list of names");
  for (Json::ArrayIndex position = 0; position < names.size(); ++position) {
    if (!names[position].isString())
      return invalid_field(scope.item(position), "", names[position], "a name");
  }
  return {};
}

using ListCheck = leaf::result<void> (*)(const FieldScope&, const Json::Value&);

// Checks each list of an object of lists; gives null where the field is missing.
leaf::result<Json::Value> checked_lists(const FieldScope& scope, const Json::Value& root, const char* name,
                                        ListCheck check) {
  BOOST_LEAF_AUTO(lists, object_field(scope, root, name));
  if (lists == nullptr) return Json::Value();
  const FieldScope lists_scope = scope.child(name);
  for (const std::string& list : lists->getMemberNames()) {
    if (list == "version" || list == "limits") {
      return invalid_field(lists_scope, list, (*lists)[list], "names of lists such as routes and services");
    }
    BOOST_LEAF_CHECK(check(lists_scope.child(list), (*lists)[list]));
  }
  return *lists;
}

}  // namespace

leaf::result<ConfigurationPatch> parse_patch(std::string_view json, std::string_view source) {
  BOOST_LEAF_AUTO(root, parse_json_object(json, source));
  const FieldScope scope{std::string(source), ""};
  ConfigurationPatch patch;
  const IntegerRange version_range{1, kLargestVersion, std::nullopt};
  BOOST_LEAF_ASSIGN(patch.version, integer_field(scope, root, "version", version_range));
  BOOST_LEAF_ASSIGN(patch.upsert, checked_lists(scope, root, "upsert", check_upsert_list));
  BOOST_LEAF_ASSIGN(patch.removed, checked_lists(scope, root, "delete", check_delete_list));
  BOOST_LEAF_AUTO(limits, object_field(scope, root, "limits"));
  if (limits != nullptr) patch.limits = *limits;
  return patch;
}

}  // namespace winchhall::cluster
