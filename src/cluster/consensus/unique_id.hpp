// Ids that are unique without coordination.
#pragma once

#include <cstdint>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// A 64-bit id, never 0, that with overwhelming probability neither another process nor another incarnation of
// this one draws. `address`: this process' internal listener.
std::uint64_t draw_unique_id(Runtime& runtime, const Address& address);

}  // namespace winchhall::cluster
