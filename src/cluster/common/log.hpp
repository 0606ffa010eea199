// Logs of a process: one JSON object a line on standard error, with stable fields (time, level, node, role,
// event).
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

enum class LogLevel { debug, info, warning, error };

// One named value of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double> value;
};

// Starts logging for this process. Lines below `level` are dropped.
void initialize_logging(const std::string& node_name, const std::string& role, LogLevel level);

// True if lines of this level are written: for fields that cost much to gather.
bool log_enabled(LogLevel level);

// Level of a name ("debug", "info", "warning", "error"). Errors: InvalidInput.
leaf::result<LogLevel> parse_log_level(const std::string& name);

// Writes one line. `event` is a short stable word for what happened, e.g. "lease_acquired".
void log_event(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace winchhall::cluster
