// Calls to the leaders of services.
#pragma once

#include <string>
#include <vector>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/control_responses.hpp"

namespace winchhall::cluster {

// The status of the control group as one node sees it. Errors: ControlUnavailable.
leaf::result<StatusResponse> fetch_status(ControlClient& client);

// The service that the command line names, or else all services that may hold jobs, as a majority of the
// control group knows them. Errors: InvalidInput, ControlUnavailable.
leaf::result<std::vector<std::string>> resolve_services(const CommandLine& line, ControlClient& client);

// Checks that `text` can be a segment of a request's path without escaping. `field`: name for the error.
// Errors: InvalidInput.
leaf::result<void> check_path_text(const char* field, const std::string& text);

// Calls the leader of a service. `request.target`: the path without a query. `query`: parameters in addition
// to the service, or empty. Errors: ControlUnavailable.
leaf::result<ControlResponse> call_leader(ControlClient& client, ControlRequest request,
                                          const std::string& service, const std::string& query = "");

}  // namespace winchhall::cluster
