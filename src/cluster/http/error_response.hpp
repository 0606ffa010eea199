// Responses that report an invalid value.
#pragma once

#include "cluster/common/errors.hpp"
#include "cluster/http/message.hpp"

namespace winchhall::cluster {

// A response with the body {"error":{"source":...,"field":...,"value":...,"allowed":...}}.
HttpResponse error_response(unsigned status, const InvalidInput& error);

}  // namespace winchhall::cluster
