// Failures of operators' commands, besides those of common/errors.hpp.
#pragma once

#include <string>

namespace winchhall::cluster {

// The command line can't be understood.
struct UsageError {
  std::string problem;
};

// No control node gave a clear answer. A change that was asked for may or may not take effect.
struct ControlUnavailable {
  std::string detail;  // of the last try
};

// What was asked for does not exist.
struct NotFound {
  std::string what;
};

}  // namespace winchhall::cluster
