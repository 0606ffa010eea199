// The digest of a set's bytes: xxHash (XXH3, 64 bits), chained over the files in order of their kinds. It
// tells sets apart and finds spoilt ones; it is no guard against anybody who means to deceive.
#pragma once

#include <cstdint>

#include "aggregator/dynamic_config/rows.hpp"

namespace winchhall::generations {

std::uint64_t digest_of(const Bytes& bytes);

}  // namespace winchhall::generations
