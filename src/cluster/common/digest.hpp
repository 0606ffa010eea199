// 64-bit FNV-1a hash of texts and numbers.
#pragma once

#include <cstdint>
#include <string_view>

namespace winchhall::cluster {

// Incremental FNV-1a (Fowler, Noll and Vo; 64-bit parameters). Detects accidental differences between values;
// it is not cryptographic. Digests are sent between processes, so the algorithm is part of the protocol.
class Digest {
 public:
  // Adds the bytes alone: "ab" followed by "c" equals "abc".
  void add_bytes(std::string_view text) {
    for (const char character : text) add_char(character);
  }
  // Adds one byte.
  void add_char(char character) { add_byte(static_cast<unsigned char>(character)); }
  // Adds the length and the bytes, so that the boundaries between consecutive texts count.
  void add(std::string_view text) {
    add(text.size());
    add_bytes(text);
  }
  // Adds a number as eight bytes, least significant first.
  void add(std::uint64_t number) {
    for (unsigned shift = 0; shift < 64; shift += 8) add_byte(static_cast<unsigned char>(number >> shift));
  }
  // Hash of everything added so far.
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  static constexpr std::uint64_t kPrime = 1099511628211ULL;

  void add_byte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace winchhall::cluster
