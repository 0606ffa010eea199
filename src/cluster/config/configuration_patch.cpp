#include "cluster/config/configuration_patch.hpp"

#include <unordered_map>
#include <unordered_set>

#include "cluster/config/configuration.hpp"
#include "cluster/config/json_fields.hpp"

namespace winchhall::cluster {
namespace {

constexpr const char* kPatchSource = "Config.Patch";

using Names = std::unordered_set<std::string>;

leaf::result<void> check_upsert_list(const FieldScope& scope, const Json::Value& items) {
  if (!items.isArray()) return invalid_field(scope, "", items, "a list of items");
  Names names;
  for (Json::ArrayIndex position = 0; position < items.size(); ++position) {
    const FieldScope item_scope = scope.item(position);
    if (!items[position].isObject()) return invalid_field(item_scope, "", items[position], "an object");
    BOOST_LEAF_AUTO(name, required_text(item_scope, items[position], "name"));
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
  const FieldScope lists_scope = scope.inner(name);
  for (const std::string& list : lists->getMemberNames()) {
    if (list == "version" || list == "limits") {
      return invalid_field(lists_scope, list, (*lists)[list], "names of lists such as routes and services");
    }
    BOOST_LEAF_CHECK(check(lists_scope.inner(list), (*lists)[list]));
  }
  return *lists;
}

// The list of the configuration that a patch names, made if there is none.
leaf::result<Json::Value*> target_list(const FieldScope& scope, Json::Value& root, const std::string& list) {
  Json::Value& target = root[list];
  if (target.isNull()) target = Json::Value(Json::arrayValue);
  if (!target.isArray()) return invalid_field(scope, list, target, "the name of a list");
  return &target;
}

std::string name_of(const Json::Value& item) {
  if (!item.isObject() || !item["name"].isString()) return {};
  return item["name"].asString();
}

void remove_items(Json::Value& target, const Json::Value& names) {
  Names removed;
  for (const Json::Value& name : names) removed.insert(name.asString());
  Json::Value kept(Json::arrayValue);
  for (const Json::Value& item : static_cast<const Json::Value&>(target)) {
    if (removed.count(name_of(item)) == 0) kept.append(item);
  }
  target = std::move(kept);
}

void upsert_items(Json::Value& target, const Json::Value& items) {
  std::unordered_map<std::string, Json::ArrayIndex> positions;
  const Json::Value& present = target;
  for (Json::ArrayIndex position = 0; position < present.size(); ++position) {
    positions.emplace(name_of(present[position]), position);
  }
  for (const Json::Value& item : items) {
    const auto found = positions.find(name_of(item));
    if (found != positions.end()) {
      target[found->second] = item;
    } else {
      target.append(item);
    }
  }
}

using ListEdit = void (*)(Json::Value&, const Json::Value&);

leaf::result<void> edit_lists(const FieldScope& scope, Json::Value& root, const Json::Value& lists,
                              ListEdit edit) {
  for (const std::string& list : lists.getMemberNames()) {
    BOOST_LEAF_AUTO(target, target_list(scope, root, list));
    edit(*target, lists[list]);
  }
  return {};
}

}  // namespace

leaf::result<ConfigurationPatch> parse_patch(std::string_view json, std::string_view source) {
  BOOST_LEAF_AUTO(root, parse_json_object(json, source));
  const FieldScope scope{std::string(source), ""};
  ConfigurationPatch patch;
  const NumberRange version_range{1, kLargestVersion, std::nullopt};
  BOOST_LEAF_ASSIGN(patch.version, whole_number(scope, root, "version", version_range));
  BOOST_LEAF_ASSIGN(patch.upsert, checked_lists(scope, root, "upsert", check_upsert_list));
  BOOST_LEAF_ASSIGN(patch.removed, checked_lists(scope, root, "delete", check_delete_list));
  BOOST_LEAF_AUTO(limits, object_field(scope, root, "limits"));
  if (limits != nullptr) patch.limits = *limits;
  return patch;
}

leaf::result<std::string> patched_json(const std::string& base_json, const ConfigurationPatch& patch,
                                       std::string_view source) {
  BOOST_LEAF_AUTO(root, parse_json_object(base_json, source));
  const FieldScope scope{std::string(source), ""};
  root["version"] = Json::UInt64{patch.version};
  BOOST_LEAF_CHECK(edit_lists(scope.inner("delete"), root, patch.removed, remove_items));
  BOOST_LEAF_CHECK(edit_lists(scope.inner("upsert"), root, patch.upsert, upsert_items));
  if (!patch.limits.isNull()) root["limits"] = patch.limits;
  return write_json(root);
}

leaf::result<Configuration> apply_patch(const Configuration& base, std::string_view patch_json) {
  BOOST_LEAF_AUTO(patch, parse_patch(patch_json, kPatchSource));
  BOOST_LEAF_AUTO(json, patched_json(base.json, patch, kPatchSource));
  return parse_configuration(json, kPatchSource);
}

}  // namespace winchhall::cluster
