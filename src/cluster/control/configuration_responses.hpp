// HTTP responses of the operator API for outcomes of the configuration service.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// Response to a change: 200 {"version":n} if it was applied, 412 {"version":n} with the current version on a
// conflict, 400 {"error":{...}} if it is invalid, 503 if the outcome is unknown.
HttpResponse change_response(const ConfigurationOutcome& outcome);

// Response to a read: 200 with the complete configuration, 404 if there is none, 503 if no majority answered.
HttpResponse read_response(const ConfigurationRead& read);

}  // namespace winchhall::cluster
