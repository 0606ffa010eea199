// Parses requests of the operator API.
#pragma once

#include <cstddef>
#include <string>

#include "cluster/http/server.hpp"

namespace winchhall::cluster {

enum class OperatorCallKind {
  unknown,
  configuration_get,
  configuration_put,
  configuration_patch,
  status,
  list_jobs,
  show_job,
  cancel_job,
  list_nodes
};

// Jobs listed for each service: without `limit`, and the largest `limit` that has effect.
inline constexpr std::size_t kDefaultJobLimit = 200;
inline constexpr std::size_t kMaxJobLimit = 10000;

// One request: which call it means, and its parameters.
struct OperatorCall {
  OperatorCallKind kind = OperatorCallKind::unknown;
  bool method_allowed = false;           // false for a known path: 405
  std::string id;                        // of a job
  std::string service;                   // empty: none given
  std::size_t limit = kDefaultJobLimit;  // also where the given limit is 0 or not a number
};

// Parses method, path and query. Unknown paths give `unknown`; unknown parameters are ignored.
OperatorCall parse_operator_call(const HttpRequest& request);

}  // namespace winchhall::cluster
