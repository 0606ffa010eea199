// Interpretation of a client's HTTP request: its queue, the job and the client's deadline.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/http/message.hpp"

namespace winchhall::cluster {

// Why a request could not be resolved.
enum class TargetError {
  none,
  no_such_queue,  // no route matches
  malformed,      // the path has no valid job ID where one is required
  wrong_method    // the method is not supported for this path
};

// The operation that a request asks for, and the queue and the job that it refers to.
struct RequestTarget {
  TargetError error = TargetError::none;
  std::uint64_t configuration_version = 0;  // of the configuration that was searched
  const Route* route = nullptr;             // points into the configuration that was searched
  wire::JobVerb verb = wire::JOB_VERB_NONE;
  std::string id;  // of the job; empty for JOB_COUNT
};

// Resolves host, path and method of a request. The other members of the result are valid only without an
// error.
RequestTarget resolve_target(const Configuration& configuration, const HttpRequest& request);

// How long the client waits for the response, from the header X-Winchhall-Deadline (milliseconds); empty if
// the header is missing or invalid.
std::optional<Millis> client_deadline(const HttpRequest& request);

}  // namespace winchhall::cluster
