#include "cluster/cli/operator_commands.hpp"

#include <algorithm>

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

namespace {

using OperatorFunction = leaf::result<void> (*)(const CommandLine&, ControlClient&, std::ostream&);

struct OperatorCommand {
  const char* name;
  OperatorFunction run;
};

constexpr const char* kConfigurationCommand = "config";

constexpr OperatorCommand kCommands[] = {{"jobs", &run_jobs_command},       {"nodes", &run_nodes_command},
                                         {"members", &run_members_command}, {"leader", &run_leader_command},
                                         {"status", &run_status_command},   {"top", &run_top_command}};

const OperatorCommand* find_command(const std::string& name) {
  const auto found = std::find_if(std::begin(kCommands), std::end(kCommands),
                                  [&name](const OperatorCommand& command) { return command.name == name; });
  return found == std::end(kCommands) ? nullptr : &*found;
}

}  // namespace

bool is_operator_command(const std::string& command) {
  return command == kConfigurationCommand || find_command(command) != nullptr;
}

leaf::result<std::vector<Address>> control_nodes(const CommandLine& line) {
  if (!line.control.empty()) return line.control;
  if (line.settings_file.empty()) {
    return leaf::new_error(UsageError{"no control node: --control, --settings or WINCHHALL_NODE_FILE"});
  }
  BOOST_LEAF_AUTO(settings, load_settings(line.settings_file));
  std::vector<Address> nodes = settings.seeds;
  const bool runs_control = settings.role == "control" && !settings.control.empty();
  if (runs_control) nodes.insert(nodes.begin(), settings.control);
  if (nodes.empty()) {
    return leaf::new_error(InvalidInput{line.settings_file, "seeds", "", "addresses of control nodes"});
  }
  return nodes;
}

leaf::result<void> run_operator_command(const CommandLine& line, std::ostream& out) {
  if (line.command() == kConfigurationCommand) return run_configuration_command(line, out);
  const OperatorCommand* command = find_command(line.command());
  if (!command) return leaf::new_error(UsageError{"unknown command " + line.command()});
  BOOST_LEAF_AUTO(nodes, control_nodes(line));
  ControlClient client(ControlClientOptions{std::move(nodes)});
  return command->run(line, client, out);
}

}  // namespace winchhall::cluster
