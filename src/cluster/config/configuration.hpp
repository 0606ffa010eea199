// The operator's configuration: routes (queues), services and limits, as one validated value.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/common/errors.hpp"
#include "cluster/config/json_fields.hpp"
#include "cluster/config/route_index.hpp"

namespace winchhall::cluster {

// The largest version of a configuration.
inline constexpr std::uint64_t kLargestVersion = std::numeric_limits<std::int64_t>::max();

// A queue: which jobs it takes, which service runs them, how they are judged.
struct Route {
  std::string name;
  std::string hostname;
  std::string path_prefix;
  std::string route_type;
  std::uint32_t timeout_ms = 0;
  std::uint32_t target_latency_ms = 0;
  std::uint32_t priority = 0;
  std::string backend;
  std::uint32_t max_retries = 0;
  double stretch = 1;
};

struct Service {
  std::string name;
  std::string health_check_path;
  std::uint32_t max_connections = 0;
  bool preconditions = false;
};

struct RequestLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 262144;
  std::uint32_t header_timeout_ms = 3000;
  std::uint32_t idle_timeout_ms = 15000;
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  RequestLimits limits;
  std::string json;        // as the operator gave it, patches applied; empty where it came by differences
  RouteIndex route_index;  // of `routes`, made when the configuration is read

  // The route with the longest path prefix that fits; null: none. The hostname's case doesn't matter; it
  // comes without a port.
  const Route* find_route(std::string_view hostname, std::string_view path) const;
  const Service* find_service(std::string_view name) const;
};

// Reads and checks a whole configuration. Errors: InvalidInput.
leaf::result<Configuration> parse_configuration(std::string_view json, std::string_view source);

// The same of JSON that was read already; `json` stays empty. Errors: InvalidInput.
leaf::result<Configuration> read_configuration(const FieldScope& scope, const Json::Value& root);
// Single items, wherever they stand. What they name elsewhere is not looked up. Errors: InvalidInput.
leaf::result<Route> read_route(const FieldScope& scope, const Json::Value& item);
leaf::result<Service> read_service(const FieldScope& scope, const Json::Value& item);
leaf::result<RequestLimits> read_limits(const FieldScope& scope, const Json::Value& object);

// A configuration's fields as JSON that parse_configuration reads; what it has beside them is not in it.
std::string configuration_json(const Configuration& configuration);

}  // namespace winchhall::cluster
