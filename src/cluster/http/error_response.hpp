// Answers that say which value can't be used, and what would be allowed.
#pragma once

#include "cluster/common/errors.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// {"error":{"source":...,"field":...,"value":...,"allowed":...}}
HttpResponse error_response(unsigned status, const InvalidInput& error);

}  // namespace winchhall::cluster
