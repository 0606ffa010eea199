// The operator's configuration as a JSON document that can be patched.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cluster/config/configuration_json.hpp"
#include "cluster/config/configuration_patch.hpp"
#include "cluster/config/editable_configuration.hpp"

namespace winchhall::cluster {

// Owns the JSON text of a configuration together with its validated values. The text keeps all fields that
// this version of the program does not know. Validating and applying a patch takes time proportional to the
// patch. Not thread-safe.
class ConfigurationDocument {
 public:
  // Parses and validates a complete configuration. Errors: InvalidInput.
  static leaf::result<ConfigurationDocument> read(std::string json, std::string_view source);

  const Configuration& configuration() const { return editable_.configuration(); }
  // The text byte for byte as it was read; after a patch, compact JSON with all patches applied.
  std::string json() const;

  // Validates a patch against this document and returns its effect. Changes nothing.
  // Errors: InvalidInput, if the patch cannot be applied or its result is not a valid configuration.
  leaf::result<ConfigurationEdit> check(const ConfigurationPatch& patch, std::string_view source) const;
  // Applies a patch and returns the changes of the routes. `edit` must be the result of `check` for it on
  // this state of the document.
  std::vector<RouteChange> apply(const ConfigurationPatch& patch, ConfigurationEdit edit);

 private:
  // An item of a list, as JSON text.
  struct Item {
    std::string name;  // empty: the item has none
    std::string text;
  };
  // The items of a list in order; new ones are appended.
  struct List {
    std::map<std::uint64_t, Item> items;  // by ascending position; positions of removed items stay unused
    std::unordered_map<std::string, std::uint64_t> by_name;

    void append(std::string name, std::string text);
    void put(const std::string& name, std::string text);
    void remove(const std::string& name);
  };

  // Splits a parsed configuration into `values_` and `lists_`.
  void read_members(const Json::Value& root);
  // Every member named in `lists` must be a list in this document, or missing.
  leaf::result<void> check_lists(const FieldScope& scope, const Json::Value& lists) const;
  // Routes must name existing services and must not conflict with other routes.
  leaf::result<void> check_routes(const FieldScope& scope, const ConfigurationEdit& edit) const;
  // A removed service must not be the backend of a route that the edit leaves unchanged.
  leaf::result<void> check_removed_services(const FieldScope& scope, const ConfigurationPatch& patch,
                                            const ConfigurationEdit& edit) const;
  // True if the service exists once the edit is applied.
  bool has_service_after(const ConfigurationEdit& edit, const std::string& name) const;

  std::string original_;                       // the text that was read; empty once patched
  std::map<std::string, std::string> values_;  // JSON texts of the members that are not lists, by name
  std::map<std::string, List> lists_;          // the members that are lists, by name
  EditableConfiguration editable_;
};

}  // namespace winchhall::cluster
