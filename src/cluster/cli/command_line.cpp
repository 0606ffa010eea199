#include "cluster/cli/command_line.hpp"

#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <limits>
#include <memory>

#include "cluster/cli/operator_errors.hpp"

namespace winchhall::cluster {

namespace {

constexpr const char* kSettingsVariable = "WINCHHALL_NODE_FILE";
constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxIntervalSeconds = 3600;
constexpr std::uint64_t kNoLimit = std::numeric_limits<std::uint64_t>::max();

// Return values of poptGetNextOpt() for the options.
enum OptionCode {
  kSettings = 1,
  kDebug,
  kLogLevel,
  kMetrics,
  kControl,
  kService,
  kBase,
  kLimit,
  kRounds,
  kInterval,
  kJson
};

const poptOption kOptions[] = {
    {"settings", 's', POPT_ARG_STRING, nullptr, kSettings, "settings file of the process", "FILE"},
    {"log-level", 0, POPT_ARG_STRING, nullptr, kLogLevel, "debug, info, warning or error", "LEVEL"},
    {"debug", 'd', POPT_ARG_NONE, nullptr, kDebug, "same as --log-level debug", nullptr},
    {"metrics", 0, POPT_ARG_STRING, nullptr, kMetrics, "serve metrics on this port of loopback", "PORT"},
    {"control", 'c', POPT_ARG_STRING, nullptr, kControl, "control node to ask; may be repeated", "IP:PORT"},
    {"service", 0, POPT_ARG_STRING, nullptr, kService, "ask for this service only", "NAME"},
    {"base", 0, POPT_ARG_STRING, nullptr, kBase, "configuration version that a change builds on", "VERSION"},
    {"limit", 0, POPT_ARG_STRING, nullptr, kLimit, "jobs listed for each service", "N"},
    {"rounds", 0, POPT_ARG_STRING, nullptr, kRounds, "end `top` after so many rounds", "N"},
    {"interval", 0, POPT_ARG_STRING, nullptr, kInterval, "seconds between rounds of `top`", "SECONDS"},
    {"json", 0, POPT_ARG_NONE, nullptr, kJson, "print JSON", nullptr},
    POPT_AUTOHELP POPT_TABLEEND};

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::string option_argument(poptContext context) {
  const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context), &std::free);
  return argument ? argument.get() : "";
}

leaf::result<std::uint64_t> parse_number(const char* option, const std::string& text, std::uint64_t max) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number);
  if (read.ec == std::errc() && read.ptr == end && number <= max) return number;
  std::string allowed = "a whole number of 0 or more";
  if (max != kNoLimit) allowed = "a whole number from 0 to " + std::to_string(max);
  return leaf::new_error(InvalidInput{"command line", option, text, std::move(allowed)});
}

leaf::result<void> apply_option(int code, const std::string& argument, CommandLine& line) {
  switch (code) {
    case kSettings:
      line.settings_file = argument;
      break;
    case kDebug:
      line.log_level = LogLevel::debug;
      break;
    case kLogLevel: {
      BOOST_LEAF_ASSIGN(line.log_level, parse_log_level(argument));
      break;
    }
    case kMetrics: {
      BOOST_LEAF_AUTO(port, parse_number("metrics", argument, kMaxPort));
      line.metrics_port = static_cast<std::uint16_t>(port);
      break;
    }
    case kControl:
      line.control.push_back(argument);
      break;
    case kService:
      line.service = argument;
      break;
    case kBase: {
      BOOST_LEAF_ASSIGN(line.base_version, parse_number("base", argument, kNoLimit));
      break;
    }
    case kLimit: {
      BOOST_LEAF_ASSIGN(line.limit, parse_number("limit", argument, kNoLimit));
      break;
    }
    case kRounds: {
      BOOST_LEAF_ASSIGN(line.rounds, parse_number("rounds", argument, kNoLimit));
      break;
    }
    case kInterval: {
      BOOST_LEAF_ASSIGN(line.interval_s, parse_number("interval", argument, kMaxIntervalSeconds));
      break;
    }
    default:
      line.json = true;
      break;
  }
  return {};
}

std::string default_settings_file() {
  const char* file = std::getenv(kSettingsVariable);
  return file ? file : "";
}

}  // namespace

leaf::result<CommandLine> parse_command_line(int argc, const char* const* argv) {
  const Context context(
      poptGetContext("winchhall-cluster", argc, const_cast<const char**>(argv), kOptions, 0));
  poptSetOtherOptionHelp(context.get(), usage_text());
  CommandLine line;
  int code = 0;
  while ((code = poptGetNextOpt(context.get())) > 0) {
    BOOST_LEAF_CHECK(apply_option(code, option_argument(context.get()), line));
  }
  if (code < -1) {
    const std::string option = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
    return leaf::new_error(UsageError{option + ": " + poptStrerror(code)});
  }
  while (const char* word = poptGetArg(context.get())) line.arguments.emplace_back(word);
  if (line.arguments.empty()) return leaf::new_error(UsageError{"a command is missing"});
  if (line.settings_file.empty()) line.settings_file = default_settings_file();
  return line;
}

const char* usage_text() {
  return "[OPTION...] COMMAND\n"
         "processes: control, ingress, agent, worker-agent\n"
         "settings:  check [FILE]\n"
         "store:     store check DIR | store show DIR | store backup DIR FILE | store restore FILE DIR\n"
         "operators: config get | config put FILE | config patch FILE | config check FILE\n"
         "           jobs list | jobs show ID | jobs cancel ID\n"
         "           nodes | members | leader | status | top";
}

}  // namespace winchhall::cluster
