// Structured log of a process: one JSON object a line on standard error. Every line has the fields `time_ms`,
// `level`, `node`, `role` and `event`.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

enum class LogLevel { debug, info, warning, error };

// An additional field of a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double> value;
};

// Starts logging for this process. Lines below `level` are dropped. Before this call nothing is logged.
void initialize_logging(const std::string& node_name, const std::string& role, LogLevel level);

// Whether lines of this level are written. Lets callers skip fields that are expensive to compute.
bool log_enabled(LogLevel level);

// Level of the name "debug", "info", "warning" or "error". Errors: InvalidInput.
leaf::result<LogLevel> parse_log_level(const std::string& name);

// Writes one line. `event` identifies the kind of event and is stable, e.g. "lease_acquired"; what varies
// goes into fields.
void log_event(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace winchhall::cluster
