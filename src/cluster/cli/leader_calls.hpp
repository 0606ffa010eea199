// Calls that each service's leader answers.
#pragma once

#include <string>
#include <vector>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/control_responses.hpp"

namespace winchhall::cluster {

// Errors: ControlUnavailable.
leaf::result<StatusResponse> fetch_status(ControlClient& client);

// The service of the command line, else all that the control group knows. Errors: InvalidInput,
// ControlUnavailable.
leaf::result<std::vector<std::string>> resolve_services(const CommandLine& line, ControlClient& client);

// Errors: InvalidInput where the text can't stand in a request's path.
leaf::result<void> check_path_text(const char* field, const std::string& text);

// Asks the leader of a service; `path` without a query; `query` without the service. Errors:
// ControlUnavailable.
leaf::result<ControlResponse> call_leader(ControlClient& client, ControlRequest call,
                                          const std::string& service, const std::string& query = "");

}  // namespace winchhall::cluster
