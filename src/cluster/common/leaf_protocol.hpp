// Limits of the protocol between leaves and their worker-agents.
#pragma once

#include <cstddef>

namespace winchhall::cluster {

// A heartbeat lists at most this many finished tasks; a list of this length may be truncated.
inline constexpr std::size_t kMaxFinishedListed = 500;

}  // namespace winchhall::cluster
