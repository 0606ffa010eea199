// A change of named items of a configuration.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// A patch whose own shape has been checked; what it makes of a configuration is checked when it is applied.
struct ConfigurationPatch {
  std::uint64_t version = 0;  // that it makes
  Json::Value upsert;         // lists of items, by the name of the list; null: none
  Json::Value removed;        // lists of names, by the name of the list; null: none
  Json::Value limits;         // null: unchanged
};

// Reads a patch. Errors: InvalidInput.
leaf::result<ConfigurationPatch> parse_patch(std::string_view json, std::string_view source);

}  // namespace winchhall::cluster
