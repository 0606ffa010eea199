// Error types of the cluster, carried by Boost.LEAF. Every failure that a caller has to tell apart has a type
// of its own; none is a bare string.
#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

namespace winchhall::cluster {

namespace leaf = boost::leaf;

// A value from outside the program (a file, a request, the command line) is not valid.
struct InvalidInput {
  std::string source;      // file or message, e.g. "settings", "Config.Put"
  std::string field;       // path of the field, e.g. "routes[3].timeout_ms"
  std::string value;       // as found, truncated; empty: the field is missing
  std::string allowed;     // description of the allowed values
  std::uint32_t line = 0;  // line in a file; 0: unknown

  // One line for logs and error output.
  std::string message() const {
    const std::string location = line == 0 ? source : source + ":" + std::to_string(line);
    return location + ": " + field + ": " + (value.empty() ? "missing" : "'" + value + "'") +
           "; allowed: " + allowed;
  }
};

// A change is based on a configuration version that is not the current one.
struct VersionConflict {
  std::uint64_t current = 0;
};

// No majority of the control group responded in time. The change may or may not take effect.
struct QuorumUnavailable {};

// An operation on the local store failed.
struct StoreFailure {
  std::string path;
  std::string operation;
  std::string detail;
};

// Data that was durable in the local store is missing or changed, so the store can't be relied on.
struct StoreCorruption {
  std::string path;
  std::string detail;
};

// The local store has a format that this version of the program doesn't know.
struct UnsupportedStoreFormat {
  std::string path;
  std::string found;
  std::string supported;
};

}  // namespace winchhall::cluster
