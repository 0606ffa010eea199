// Finds what a client's request is about: its queue, the job's ID, and how long the client waits.
#pragma once

#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// `no_such_queue`: no route fits. `malformed`: no job's ID where one must stand. `wrong_method`: not spoken
// here.
enum class TargetError { none, no_such_queue, malformed, wrong_method };

struct RequestTarget {
  TargetError error = TargetError::none;
  const Route* route = nullptr;  // into the configuration that was asked
  wire::JobVerb verb = wire::JOB_VERB_NONE;
  std::string id;  // empty for JOB_COUNT
};

RequestTarget resolve_target(const Configuration& configuration, const HttpRequest& request);

// Milliseconds that the client waits (header X-Winchhall-Deadline); none: it does not say.
std::optional<Millis> client_deadline(const HttpRequest& request);

}  // namespace winchhall::cluster
