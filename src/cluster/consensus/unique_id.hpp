// Ids that are unique without coordination.
#pragma once

#include <cstdint>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Generates a 64-bit id, never 0, that with overwhelming probability neither another process nor another
// incarnation of this one generates. `address`: the internal listener of this process.
std::uint64_t generate_unique_id(Runtime& runtime, const Address& address);

}  // namespace winchhall::cluster
