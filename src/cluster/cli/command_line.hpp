// Command line of the program: options and the words of the command.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/log.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

struct CommandLine {
  std::vector<std::string> words;  // the command and its arguments; never empty
  std::string settings_file;       // empty: none given
  LogLevel log_level = LogLevel::info;
  std::optional<std::uint16_t> metrics_port;
  std::vector<Address> control;  // operator APIs to ask
  std::string service;           // empty: all
  std::optional<std::uint64_t> base_version;
  std::uint64_t limit = 200;  // jobs listed for each service
  std::uint64_t rounds = 0;   // of `top`; 0: until it is stopped
  std::uint64_t interval_s = 2;
  bool json = false;

  const std::string& command() const { return words.front(); }
  // A word of the command; empty: not given.
  std::string word(std::size_t position) const {
    return position < words.size() ? words[position] : std::string();
  }
};

// Errors: UsageError, InvalidInput (an option's value). The settings file of the environment
// (WINCHHALL_NODE_FILE) counts where none is given. `--help` prints the help and ends the process.
leaf::result<CommandLine> parse_command_line(int argc, const char* const* argv);

// The commands and options, as shown with a usage error.
const char* usage_text();

}  // namespace winchhall::cluster
