// HTTP responses of the operator API for outcomes of the configuration service.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// For a change. Applied: 200 {"version":n}; conflict: 412 {"version":n} with the current version; invalid:
// 400 {"error":{...}}; unavailable: 503.
HttpResponse change_response(const ConfigurationOutcome& outcome);

// For a read. Found: 200 with the complete configuration; missing: 404; unavailable: 503.
HttpResponse read_response(const ConfigurationRead& read);

}  // namespace winchhall::cluster
