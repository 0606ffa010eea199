// winchhall-cluster: the cluster scheduler. Its roles, the operators' commands and the maintenance of stores
// are sub-commands of this program.
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "cluster/cli/command_line.hpp"
#include "cluster/cli/error_report.hpp"
#include "cluster/cli/exit_codes.hpp"
#include "cluster/cli/operator_commands.hpp"
#include "cluster/cli/operator_errors.hpp"
#include "cluster/cli/roles.hpp"
#include "cluster/cli/store_command.hpp"
#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

constexpr const char* kStoreCommand = "store";  // parses its own arguments

using RoleFunction = leaf::result<int> (*)(NodeSettings, const RoleOptions&);

struct Role {
  const char* name;
  RoleFunction run;
};

constexpr Role kRoles[] = {{"control", &run_control},
                           {"ingress", &run_ingress},
                           {"agent", &run_agent},
                           {"worker-agent", &run_worker_agent}};

leaf::result<int> run_role(const Role& role, const CommandLine& line) {
  if (line.settings_file.empty()) {
    return leaf::new_error(UsageError{"no settings file: --settings or WINCHHALL_NODE_FILE"});
  }
  BOOST_LEAF_AUTO(settings, load_settings(line.settings_file));
  initialize_logging(settings.node_name, role.name, line.log_level);
  log_event(LogLevel::info, "starting");
  const RoleOptions options{line.metrics_port.value_or(settings.metrics_port)};
  return role.run(std::move(settings), options);
}

leaf::result<int> check_settings(const CommandLine& line) {
  const std::string file = line.arguments.size() > 1 ? line.argument(1) : line.settings_file;
  if (file.empty()) return leaf::new_error(UsageError{"check FILE"});
  BOOST_LEAF_AUTO(settings, load_settings(file));
  std::cout << file << ": settings of " << settings.node_name << " are fit for use\n";
  return kExitSuccess;
}

leaf::result<int> run_command(const CommandLine& line) {
  if (line.command() == "check") return check_settings(line);
  for (const Role& role : kRoles) {
    if (line.command() == role.name) return run_role(role, line);
  }
  if (!is_operator_command(line.command())) {
    return leaf::new_error(UsageError{"unknown command " + line.command()});
  }
  BOOST_LEAF_CHECK(run_operator_command(line, std::cout));
  return kExitSuccess;
}

leaf::result<int> run_arguments(int argc, const char* const* argv) {
  const bool is_store_command = argc > 1 && std::string(argv[1]) == kStoreCommand;
  if (is_store_command) return run_store_command(std::vector<std::string>(argv + 2, argv + argc));
  BOOST_LEAF_AUTO(line, parse_command_line(argc, argv));
  return run_command(line);
}

}  // namespace

}  // namespace winchhall::cluster

int main(int argc, char** argv) {
  using namespace winchhall::cluster;
  const int code = report_failures([argc, argv] { return run_arguments(argc, argv); }, std::cerr);
  std::cout.flush();
  std::cerr.flush();
  // Skips NNG's cleanup at exit, which waits for connections that are still being established; if their peer
  // is powered off, it waits longer than the grace period. Everything that must be durable has been written
  // by now.
  std::quick_exit(code);
}
