#include "aggregator/dynamic_config/digest.hpp"

#include <xxhash.h>

namespace winchhall::generations {

std::uint64_t digest_of(const Bytes& bytes) {
  std::uint64_t digest = 0;
  for (const auto& [kind, text] : bytes)
    digest = XXH3_64bits_withSeed(text.data(), text.size(), digest + static_cast<std::uint64_t>(kind) + 1);
  return digest;
}

}  // namespace winchhall::generations
