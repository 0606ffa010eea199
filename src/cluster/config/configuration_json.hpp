// Parsing and validation of configurations in JSON, and their serialization.
#pragma once

#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/config/json_fields.hpp"

namespace winchhall::cluster {

// Parses and validates a complete configuration. `source` names the message in errors. Unknown fields are
// ignored. Errors: InvalidInput.
leaf::result<Configuration> parse_configuration(std::string_view json, std::string_view source);

// As parse_configuration, for JSON that is already parsed; `Configuration::json` stays empty.
// Errors: InvalidInput.
leaf::result<Configuration> read_configuration(const FieldScope& scope, const Json::Value& root);

// Read and validate one item. References to other items are not checked. Errors: InvalidInput.
leaf::result<Route> read_route(const FieldScope& scope, const Json::Value& item);
leaf::result<Service> read_service(const FieldScope& scope, const Json::Value& item);
leaf::result<RequestLimits> read_limits(const FieldScope& scope, const Json::Value& object);

// Serializes the fields of a configuration as JSON that parse_configuration accepts. Unknown fields of the
// original text are lost.
std::string configuration_json(const Configuration& configuration);

}  // namespace winchhall::cluster
