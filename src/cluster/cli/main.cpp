// winchhall-cluster: one program, its roles and tools are sub-commands.
#include <popt.h>

#include <boost/system/system_error.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cluster/cli/roles.hpp"
#include "cluster/common/log.hpp"
#include "cluster/rpc/socket.hpp"

namespace winchhall::cluster {

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitFailure = 4;
constexpr const char* kSettingsVariable = "WINCHHALL_NODE_FILE";

// What the command line asks for.
struct CommandLine {
  std::string command;
  std::string settings_file;
  LogLevel log_level = LogLevel::info;
};

using RoleFunction = leaf::result<int> (*)(NodeSettings);

struct Role {
  const char* name;
  RoleFunction run;
};

constexpr Role kRoles[] = {{"control", &run_control},
                           {"ingress", &run_ingress},
                           {"agent", &run_agent},
                           {"worker-agent", &run_worker_agent}};

int usage(const char* problem) {
  std::fprintf(stderr,
               "winchhall-cluster: %s\nusage: winchhall-cluster [--settings FILE] [--debug] COMMAND\n"
               "commands: control, ingress, agent, worker-agent, check\n",
               problem);
  return kExitUsage;
}

bool parse_command_line(int argc, const char** argv, CommandLine& line) {
  char* settings_file = nullptr;
  int debug = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_file, 0, "settings file of the process", "FILE"},
      {"debug", 'd', POPT_ARG_NONE, &debug, 0, "log details", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "COMMAND");
  const bool understood = poptGetNextOpt(context) == -1;
  if (const char* command = poptGetArg(context)) line.command = command;
  if (settings_file) line.settings_file = settings_file;
  if (debug) line.log_level = LogLevel::debug;
  std::free(settings_file);
  poptFreeContext(context);
  return understood && !line.command.empty();
}

std::string default_settings_file() {
  const char* file = std::getenv(kSettingsVariable);
  return file ? file : "";
}

leaf::result<int> run_role(const Role& role, const CommandLine& line) {
  BOOST_LEAF_AUTO(settings, load_settings(line.settings_file));
  start_log(settings.node_name, role.name, line.log_level);
  log_event(LogLevel::info, "starting");
  return role.run(std::move(settings));
}

leaf::result<int> check_settings(const CommandLine& line) {
  BOOST_LEAF_AUTO(settings, load_settings(line.settings_file));
  std::printf("%s: settings of %s are fit for use\n", line.settings_file.c_str(), settings.node_name.c_str());
  return EXIT_SUCCESS;
}

leaf::result<int> run_command(const CommandLine& line) {
  if (line.command == "check") return check_settings(line);
  for (const Role& role : kRoles) {
    if (line.command == role.name) return run_role(role, line);
  }
  return usage(("unknown command " + line.command).c_str());
}

int run(const CommandLine& line) {
  return leaf::try_handle_all(
      [&line] { return run_command(line); },
      [](const InvalidInput& error) {
        std::fprintf(stderr, "%s\n", error.message().c_str());
        return kExitSettings;
      },
      [](const StoreFailure& error) {
        std::fprintf(stderr, "store %s: %s: %s\n", error.path.c_str(), error.operation.c_str(),
                     error.detail.c_str());
        return kExitFailure;
      },
      [](const UnknownStoreFormat& error) {
        std::fprintf(stderr, "store %s: format '%s'; supported: %s\n", error.path.c_str(),
                     error.found.c_str(), error.supported.c_str());
        return kExitFailure;
      },
      [](const NngFailure& error) {
        std::fprintf(stderr, "%s: %s\n", error.operation.c_str(), nng_strerror(error.code));
        return kExitFailure;
      },
      [] {
        std::fprintf(stderr, "unknown failure\n");
        return kExitFailure;
      });
}

}  // namespace

}  // namespace winchhall::cluster

int main(int argc, char** argv) {
  using namespace winchhall::cluster;
  CommandLine line;
  if (!parse_command_line(argc, const_cast<const char**>(argv), line)) return usage("a command is missing");
  if (line.settings_file.empty()) line.settings_file = default_settings_file();
  if (line.settings_file.empty()) return usage("no settings file: --settings or WINCHHALL_NODE_FILE");
  try {
    return run(line);
  } catch (const boost::system::system_error& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kExitFailure;
  }
}
