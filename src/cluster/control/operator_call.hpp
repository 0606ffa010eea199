// Parses requests of the operator API.
#pragma once

#include <cstddef>
#include <string>

#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// The calls of the operator API.
enum class OperatorCallKind {
  unknown,
  configuration_get,
  configuration_put,
  configuration_patch,
  status,
  list_jobs,
  show_job,
  cancel_job,
  list_nodes,
  list_services
};

// Number of jobs listed for each service: the default without `limit`, and the maximum for any `limit`.
inline constexpr std::size_t kDefaultJobLimit = 200;
inline constexpr std::size_t kMaxJobLimit = 10000;

// A parsed request: the call and its parameters.
struct OperatorCall {
  OperatorCallKind kind = OperatorCallKind::unknown;
  bool method_allowed = false;           // false for another method than that of the path: response 405
  std::string id;                        // of a job
  std::string service;                   // empty if none was given
  std::size_t limit = kDefaultJobLimit;  // the default also applies if the given limit is 0 or not a number
};

// Parses method, path and query of a request. An unknown path has the kind `unknown`; unknown parameters are
// ignored.
OperatorCall parse_operator_call(const HttpRequest& request);

}  // namespace winchhall::cluster
