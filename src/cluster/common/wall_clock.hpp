// System time as the cluster records and logs it.
#pragma once

#include <chrono>
#include <cstdint>

namespace winchhall::cluster {

// Milliseconds since the Unix epoch by the machine's clock, which may jump.
inline std::int64_t unix_time_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace winchhall::cluster
