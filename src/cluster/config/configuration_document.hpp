// The operator's configuration: its text, with everything in it that this version of the program doesn't
// know, and what it says. A patch is checked and applied at a cost that grows with the patch.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cluster/config/configuration_patch.hpp"
#include "cluster/config/editable_configuration.hpp"

namespace winchhall::cluster {

class ConfigurationDocument {
 public:
  // Reads and checks a whole configuration. Errors: InvalidInput.
  static leaf::result<ConfigurationDocument> read(std::string json, std::string_view source);

  const Configuration& configuration() const { return editable_.configuration(); }
  // The text: as it was read, or with the patches since.
  std::string json() const;

  // What a patch changes. Errors: InvalidInput, where it can't be applied or makes an invalid configuration.
  leaf::result<ConfigurationEdit> check(const ConfigurationPatch& patch, std::string_view source) const;
  // Applies a patch; `edit` is what `check` made of it.
  void apply(const ConfigurationPatch& patch, ConfigurationEdit edit);

 private:
  struct Item {
    std::string name;  // empty: it has none
    std::string text;
  };
  // Items in their order; a new one goes to the end.
  struct List {
    std::map<std::uint64_t, Item> items;
    std::unordered_map<std::string, std::uint64_t> by_name;

    void append(std::string name, std::string text);
    void put(const std::string& name, std::string text);
    void remove(const std::string& name);
  };

  void read_members(const Json::Value& root);
  leaf::result<void> check_lists(const FieldScope& scope, const Json::Value& lists) const;
  leaf::result<void> check_routes(const FieldScope& scope, const ConfigurationEdit& edit) const;
  leaf::result<void> check_removed_services(const FieldScope& scope, const ConfigurationPatch& patch,
                                            const ConfigurationEdit& edit) const;
  bool has_service(const ConfigurationEdit& edit, const std::string& name) const;

  std::string original_;                       // empty: patched since it was read
  std::map<std::string, std::string> values_;  // members that are no lists, by name: their texts
  std::map<std::string, List> lists_;
  EditableConfiguration editable_;
};

}  // namespace winchhall::cluster
