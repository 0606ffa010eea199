#include "cluster/common/log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace winchhall::cluster {

namespace {

struct LogState {
  log4cplus::Initializer initializer;
  log4cplus::Logger logger;
  std::string node_name;
  std::string role;
};

std::optional<LogState>& log_state() {
  static std::optional<LogState> state;
  return state;
}

log4cplus::LogLevel library_level(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

const char* level_name(LogLevel level) {
  switch (level) {
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warning:
      return "warning";
    case LogLevel::error:
      return "error";
  }
  return "info";
}

std::int64_t wall_clock_ms() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

boost::json::value to_json(const LogField& field) {
  return std::visit([](const auto& value) { return boost::json::value(value); }, field.value);
}

}  // namespace

void initialize_logging(const std::string& node_name, const std::string& role, LogLevel level) {
  std::optional<LogState>& state = log_state();
  state.emplace();
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  state->logger = log4cplus::Logger::getRoot();
  state->logger.addAppender(appender);
  state->logger.setLogLevel(library_level(level));
  state->node_name = node_name;
  state->role = role;
}

bool log_enabled(LogLevel level) {
  const std::optional<LogState>& state = log_state();
  return state && state->logger.isEnabledFor(library_level(level));
}

leaf::result<LogLevel> parse_log_level(const std::string& name) {
  for (const LogLevel level : {LogLevel::debug, LogLevel::info, LogLevel::warning, LogLevel::error}) {
    if (name == level_name(level)) return level;
  }
  return leaf::new_error(InvalidInput{"command line", "log-level", name, "debug, info, warning or error"});
}

void log_event(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  std::optional<LogState>& state = log_state();
  if (!state || !state->logger.isEnabledFor(library_level(level))) return;
  boost::json::object line;
  line["time_ms"] = wall_clock_ms();
  line["level"] = level_name(level);
  line["node"] = state->node_name;
  line["role"] = state->role;
  line["event"] = event;
  for (const LogField& field : fields) line[field.name] = to_json(field);
  state->logger.forcedLog(library_level(level), boost::json::serialize(line));
}

}  // namespace winchhall::cluster
