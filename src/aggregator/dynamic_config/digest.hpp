// Digest of the configuration files: xxHash (XXH3, 64 bits), chained over the files in the order of `Kind`.
// Identifies a generation and detects corruption; it is no protection against deliberate collisions.
#pragma once

#include <cstdint>

#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::dynamic_config {

std::uint64_t digest_of(const Bytes& bytes);

}  // namespace winchhall::dynamic_config
