#include "cluster/consensus/stable_hash.hpp"

namespace winchhall::cluster {

std::uint64_t stable_hash(const std::string& text) {
  // FNV-1a.
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kPrime;
  }
  // FNV-1a alone distributes short texts poorly over the upper bits, so one step of MurmurHash3's finalizer
  // is applied.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash == 0 ? 1 : hash;
}

}  // namespace winchhall::cluster
