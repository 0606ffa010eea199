// The operator's API: outcomes of the configuration service as HTTP answers.
#pragma once

#include "cluster/control/configuration_service.hpp"
#include "cluster/http/server.hpp"

namespace winchhall::cluster {

// 200 {"version":n}, 412 {"version":n} with the current version, 400 {"error":{...}} or 503.
HttpResponse change_response(const ConfigurationOutcome& outcome);

// 200 with the whole configuration, 404 where there is none yet, or 503.
HttpResponse read_response(const ConfigurationRead& read);

}  // namespace winchhall::cluster
