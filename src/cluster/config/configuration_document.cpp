#include "cluster/config/configuration_document.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace winchhall::cluster {
namespace {

constexpr const char* kRoutes = "routes";
constexpr const char* kServices = "services";
constexpr const char* kNullText = "null";  // a member that is null may become a list

std::string name_of(const Json::Value& item) {
  if (!item.isObject() || !item["name"].isString()) return {};
  return item["name"].asString();
}

// The names of the items of one list in a patch's `upsert`.
std::unordered_set<std::string> names_in(const Json::Value& upsert, const char* list) {
  std::unordered_set<std::string> names;
  if (!upsert.isObject()) return names;
  for (const Json::Value& item : upsert[list]) names.insert(name_of(item));
  return names;
}

// The names that a patch deletes from a list and does not also upsert, without duplicates.
std::vector<std::string> removed_names(const ConfigurationPatch& patch, const char* list) {
  std::vector<std::string> names;
  if (!patch.removed.isObject()) return names;
  std::unordered_set<std::string> excluded = names_in(patch.upsert, list);
  for (const Json::Value& name : patch.removed[list]) {
    if (excluded.insert(name.asString()).second) names.push_back(name.asString());
  }
  return names;
}

template <typename Item>
leaf::result<void> read_upserts(const FieldScope& scope, const ConfigurationPatch& patch, const char* list,
                                leaf::result<Item> (*read)(const FieldScope&, const Json::Value&),
                                std::vector<Item>& items) {
  if (!patch.upsert.isObject()) return {};
  const Json::Value& upserts = patch.upsert[list];
  for (Json::ArrayIndex position = 0; position < upserts.size(); ++position) {
    BOOST_LEAF_AUTO(item, read(scope.child("upsert").child(list).item(position), upserts[position]));
    items.push_back(std::move(item));
  }
  return {};
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

void ConfigurationDocument::List::append(std::string name, std::string text) {
  const std::uint64_t position = items.empty() ? 0 : items.rbegin()->first + 1;
  by_name.try_emplace(name, position);
  items.emplace(position, Item{std::move(name), std::move(text)});
}

void ConfigurationDocument::List::put(const std::string& name, std::string text) {
  const auto known = by_name.find(name);
  if (known == by_name.end()) return append(name, std::move(text));
  items.at(known->second).text = std::move(text);
}

void ConfigurationDocument::List::remove(const std::string& name) {
  if (by_name.erase(name) == 0) return;
  std::erase_if(items, [&](const auto& entry) { return entry.second.name == name; });
}

leaf::result<ConfigurationDocument> ConfigurationDocument::read(std::string json, std::string_view source) {
  BOOST_LEAF_AUTO(root, parse_json_object(json, source));
  BOOST_LEAF_AUTO(configuration, read_configuration(FieldScope{std::string(source), ""}, root));
  ConfigurationDocument document;
  document.editable_ = EditableConfiguration(std::move(configuration));
  document.read_members(root);
  document.original_ = std::move(json);
  return document;
}

void ConfigurationDocument::read_members(const Json::Value& root) {
  for (const std::string& member : root.getMemberNames()) {
    const Json::Value& value = root[member];
    if (!value.isArray()) {
      values_[member] = write_json(value);
      continue;
    }
    List& list = lists_[member];
    for (const Json::Value& item : value) list.append(name_of(item), write_json(item));
  }
}

std::string ConfigurationDocument::json() const {
  if (!original_.empty()) return original_;
  std::map<std::string, std::string> members = values_;
  for (const auto& [name, list] : lists_) {
    std::string& text = members[name] = "[";
    for (const auto& [position, item] : list.items) {
      if (text.size() > 1) text += ',';
      text += item.text;
    }
    text += ']';
  }
  std::string text = "{";
  for (const auto& [name, value] : members) {
    if (text.size() > 1) text += ',';
    text += write_json(Json::Value(name)) + ":" + value;
  }
  return text + "}";
}

leaf::result<ConfigurationEdit> ConfigurationDocument::check(const ConfigurationPatch& patch,
                                                             std::string_view source) const {
  const FieldScope scope{std::string(source), ""};
  BOOST_LEAF_CHECK(check_lists(scope.child("delete"), patch.removed));
  BOOST_LEAF_CHECK(check_lists(scope.child("upsert"), patch.upsert));
  ConfigurationEdit edit;
  BOOST_LEAF_CHECK(read_upserts(scope, patch, kServices, read_service, edit.services));
  BOOST_LEAF_CHECK(read_upserts(scope, patch, kRoutes, read_route, edit.routes));
  edit.removed_services = removed_names(patch, kServices);
  edit.removed_routes = removed_names(patch, kRoutes);
  if (!patch.limits.isNull()) {
    BOOST_LEAF_ASSIGN(edit.limits, read_limits(scope.child("limits"), patch.limits));
  }
  BOOST_LEAF_CHECK(check_routes(scope.child("upsert").child(kRoutes), edit));
  BOOST_LEAF_CHECK(check_removed_services(scope.child("delete").child(kServices), patch, edit));
  return edit;
}

leaf::result<void> ConfigurationDocument::check_lists(const FieldScope& scope,
                                                      const Json::Value& lists) const {
  for (const std::string& list : lists.getMemberNames()) {
    const auto value = values_.find(list);
    const bool is_list = value == values_.end() || value->second == kNullText;
    if (!is_list) return invalid_field(scope, list, lists[list], "the name of a list");
  }
  return {};
}

leaf::result<void> ConfigurationDocument::check_routes(const FieldScope& scope,
                                                       const ConfigurationEdit& edit) const {
  for (std::size_t position = 0; position < edit.routes.size(); ++position) {
    const Route& route = edit.routes[position];
    if (has_service_after(edit, route.backend)) continue;
    return invalid_field(scope.item(static_cast<unsigned>(position)), "backend", route.backend,
                         "the name of one of the services");
  }
  const std::optional<std::size_t> conflict = editable_.first_conflict(edit);
  if (!conflict) return {};
  return invalid_field(scope.item(static_cast<unsigned>(*conflict)), "path_prefix",
                       edit.routes[*conflict].path_prefix, "a prefix that no other route of its host has");
}

bool ConfigurationDocument::has_service_after(const ConfigurationEdit& edit, const std::string& name) const {
  const bool upserted = std::any_of(edit.services.begin(), edit.services.end(),
                                    [&](const Service& service) { return service.name == name; });
  return upserted ||
         (configuration().find_service(name) != nullptr && !contains(edit.removed_services, name));
}

leaf::result<void> ConfigurationDocument::check_removed_services(const FieldScope& scope,
                                                                 const ConfigurationPatch& patch,
                                                                 const ConfigurationEdit& edit) const {
  if (edit.removed_services.empty()) return {};
  std::unordered_set<std::string> changed(edit.removed_routes.begin(), edit.removed_routes.end());
  for (const Route& route : edit.routes) changed.insert(route.name);
  for (const Route& route : configuration().routes) {
    if (changed.contains(route.name) || !contains(edit.removed_services, route.backend)) continue;
    const Json::Value& names = patch.removed[kServices];
    const auto named = std::find(names.begin(), names.end(), Json::Value(route.backend));
    const auto position = static_cast<unsigned>(std::distance(names.begin(), named));
    return invalid_field(scope.item(position), "", route.backend, "a service that no route names");
  }
  return {};
}

std::vector<RouteChange> ConfigurationDocument::apply(const ConfigurationPatch& patch,
                                                      ConfigurationEdit edit) {
  original_.clear();
  values_["version"] = write_json(Json::UInt64{patch.version});
  if (!patch.limits.isNull()) values_["limits"] = write_json(patch.limits);
  for (const std::string& list : patch.removed.getMemberNames()) {
    values_.erase(list);
    for (const Json::Value& name : patch.removed[list]) lists_[list].remove(name.asString());
  }
  for (const std::string& list : patch.upsert.getMemberNames()) {
    values_.erase(list);
    for (const Json::Value& item : patch.upsert[list]) lists_[list].put(name_of(item), write_json(item));
  }
  return editable_.apply(std::move(edit), patch.version);
}

}  // namespace winchhall::cluster
