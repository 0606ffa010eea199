// Command line of winchhall-cluster.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/log.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Options, and the sub-command with its arguments.
struct CommandLine {
  std::vector<std::string> arguments;  // the sub-command and its arguments; never empty
  std::string settings_file;           // empty: none given
  LogLevel log_level = LogLevel::info;
  std::optional<std::uint16_t> metrics_port;
  std::vector<Address> control;               // operator APIs to call; empty: those of the settings file
  std::string service;                        // empty: all services
  std::optional<std::uint64_t> base_version;  // that a change is based on; none: the current version
  std::uint64_t limit = 200;                  // most jobs listed for each service
  std::uint64_t rounds = 0;                   // number of refreshes of `top`; 0: until interrupted
  std::uint64_t interval_s = 2;               // between refreshes of `top`
  bool json = false;                          // print JSON instead of tables

  const std::string& command() const { return arguments.front(); }
  // The argument at a position; empty if there is none.
  std::string argument(std::size_t position) const {
    return position < arguments.size() ? arguments[position] : std::string();
  }
};

// Parses the arguments of main(). Without the option --settings, the environment variable WINCHHALL_NODE_FILE
// names the settings file. `--help` prints the help and ends the process. Errors: UsageError, InvalidInput
// (the value of an option).
leaf::result<CommandLine> parse_command_line(int argc, const char* const* argv);

// Summary of commands and options, printed with a usage error.
const char* usage_text();

}  // namespace winchhall::cluster
