// A patch of a configuration: upserts and deletions of named items.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// A patch that is well-formed. Whether it can be applied to a configuration is checked by
// ConfigurationDocument::check.
struct ConfigurationPatch {
  std::uint64_t version = 0;  // of the configuration after the patch
  Json::Value upsert;         // object from list names to lists of items; null: none
  Json::Value removed;        // object from list names to lists of item names; null: none
  Json::Value limits;         // null: unchanged
};

// Parses a patch and checks that it is well-formed. `source` names the message in errors. Errors:
// InvalidInput.
leaf::result<ConfigurationPatch> parse_patch(std::string_view json, std::string_view source);

}  // namespace winchhall::cluster
