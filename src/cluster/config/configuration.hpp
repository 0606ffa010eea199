// The operator's configuration as validated values: routes, services and request limits.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/config/route_index.hpp"

namespace winchhall::cluster {

inline constexpr std::uint64_t kMaxConfigurationVersion = std::numeric_limits<std::int64_t>::max();

// A queue: which requests become its jobs, which service runs them, and their scheduling parameters.
struct Route {
  std::string name;  // unique
  std::string hostname;
  std::string path_prefix;       // begins with "/"; unique for its hostname
  std::string route_type;        // part of the format, but not used by this version
  std::uint32_t timeout_ms = 0;  // limit on the time that a client's request waits for its response
  std::uint32_t target_latency_ms = 0;
  std::uint32_t priority = 0;
  std::string backend;            // name of the service
  std::uint32_t max_retries = 0;  // failed runs of a task after which its job fails; 0 counts as 1
  // A job should end within `stretch` times the length of its critical path plus `target_latency_ms`.
  double stretch = 1;
};

// A service that runs the jobs of the routes that name it as their backend. This version stores and validates
// the fields other than the name, but does not use them.
struct Service {
  std::string name;  // unique
  std::string health_check_path;
  std::uint32_t max_connections = 0;
  bool preconditions = false;
};

// Limits that the ingress applies to client requests.
struct RequestLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint32_t max_body_bytes = 262144;
  std::uint32_t header_timeout_ms = 3000;
  std::uint32_t idle_timeout_ms = 15000;
};

// One version of the complete configuration.
struct Configuration {
  std::uint64_t version = 0;  // 1 to kMaxConfigurationVersion
  std::vector<Route> routes;
  std::vector<Service> services;
  RequestLimits limits;
  std::string json;        // the text that was parsed; empty if the configuration was assembled from items
  RouteIndex route_index;  // positions in `routes`

  // The route with the longest path prefix that matches; null if none does. `hostname` has no port; its
  // case is ignored.
  const Route* find_route(std::string_view hostname, std::string_view path) const;
  // Null if there is no service of this name.
  const Service* find_service(std::string_view name) const;
};

}  // namespace winchhall::cluster
