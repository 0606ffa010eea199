// Error types of the operators' commands, in addition to those of common/errors.hpp.
#pragma once

#include <string>

namespace winchhall::cluster {

// The command line is not valid.
struct UsageError {
  std::string problem;
};

// No control node gave a definite answer. A requested change may or may not take effect.
struct ControlUnavailable {
  std::string detail;  // why the last attempt failed
};

// The requested object does not exist.
struct NotFound {
  std::string what;  // kind and name, e.g. "job 00000000000000a1"
};

}  // namespace winchhall::cluster
