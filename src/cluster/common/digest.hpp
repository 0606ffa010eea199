// A 64-bit digest of texts and numbers (FNV-1a): tells values apart, protects against nothing on purpose.
#pragma once

#include <cstdint>
#include <string_view>

namespace winchhall::cluster {

class Digest {
 public:
  // Adds the text alone, so that "ab" then "c" equals "abc".
  void add_bytes(std::string_view text) {
    for (const char letter : text) add_char(letter);
  }
  void add_char(char letter) { add_byte(static_cast<unsigned char>(letter)); }
  // Adds the text with its length: the borders between texts count.
  void add(std::string_view text) {
    add(text.size());
    add_bytes(text);
  }
  void add(std::uint64_t number) {
    for (unsigned shift = 0; shift < 64; shift += 8) add_byte(static_cast<unsigned char>(number >> shift));
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kStart = 14695981039346656037ULL;
  static constexpr std::uint64_t kFactor = 1099511628211ULL;

  void add_byte(unsigned char byte) { value_ = (value_ ^ byte) * kFactor; }

  std::uint64_t value_ = kStart;
};

}  // namespace winchhall::cluster
