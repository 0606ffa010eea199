// The operators' commands: they call control nodes and print the responses.
#pragma once

#include <optional>
#include <ostream>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/control_client.hpp"

namespace winchhall::cluster {

// Whether the command is one of `config`, `jobs`, `nodes`, `members`, `leader`, `status` or `top`.
bool is_operator_command(const std::string& command);

// Runs the command and prints its result to `out`. Errors: UsageError, InvalidInput, ControlUnavailable,
// VersionConflict, NotFound.
leaf::result<void> run_operator_command(const CommandLine& line, std::ostream& out);

// The control nodes to call: those of the command line, or else those of the settings file. Errors:
// UsageError if there are neither; InvalidInput for invalid settings.
leaf::result<std::vector<Address>> control_nodes(const CommandLine& line);

// One function for each command or group of commands. Errors: as of `run_operator_command`.
leaf::result<void> run_configuration_command(const CommandLine& line, std::ostream& out);
leaf::result<void> run_jobs_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_nodes_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_members_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_leader_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_status_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_top_command(const CommandLine& line, ControlClient& client, std::ostream& out);

}  // namespace winchhall::cluster
