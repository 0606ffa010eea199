// A hash that is the same on every machine and in every version.
#pragma once

#include <cstdint>
#include <string>

namespace winchhall::cluster {

// Returns 64 bits, never 0. Stored ids of founders are derived from it, so it must not change.
std::uint64_t stable_hash(const std::string& text);

}  // namespace winchhall::cluster
