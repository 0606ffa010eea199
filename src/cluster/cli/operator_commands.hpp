// The operator's commands: each asks control nodes and prints what they answer.
#pragma once

#include <optional>
#include <ostream>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/control_client.hpp"

namespace winchhall::cluster {

// True for `config`, `jobs`, `nodes`, `members`, `leader`, `status` and `top`.
bool is_operator_command(const std::string& command);

// Errors: UsageError, InvalidInput, ControlUnavailable, VersionConflict, NotFound.
leaf::result<void> run_operator_command(const CommandLine& line, std::ostream& out);

// The control nodes that a command asks: those of the command line, else of the settings file. Errors:
// UsageError where neither names one, InvalidInput of the settings.
leaf::result<std::vector<Address>> control_nodes(const CommandLine& line);

// The parts of it, by the first word.
leaf::result<void> run_configuration_command(const CommandLine& line, std::ostream& out);
leaf::result<void> run_jobs_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_nodes_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_members_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_leader_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_status_command(const CommandLine& line, ControlClient& client, std::ostream& out);
leaf::result<void> run_top_command(const CommandLine& line, ControlClient& client, std::ostream& out);

}  // namespace winchhall::cluster
