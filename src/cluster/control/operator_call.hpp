// Reads which call of the operator's API a request means.
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

// Jobs listed for each service unless `limit` says otherwise, and at most.
inline constexpr std::size_t kDefaultJobLimit = 200;
inline constexpr std::size_t kMaxJobLimit = 10000;

struct OperatorCall {
  OperatorCallKind kind = OperatorCallKind::unknown;
  bool method_allowed = false;
  std::string id;                        // of a job
  std::string service;                   // empty: none given
  std::size_t limit = kDefaultJobLimit;  // an unreadable limit counts as none given
};

OperatorCall parse_operator_call(const HttpRequest& request);

}  // namespace winchhall::cluster
