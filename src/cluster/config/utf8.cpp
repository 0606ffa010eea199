#include "cluster/config/utf8.hpp"

#include <cstddef>
#include <cstdint>

namespace winchhall::cluster {
namespace {

constexpr std::uint32_t kLargestCodePoint = 0x10FFFF;
constexpr std::uint32_t kFirstSurrogate = 0xD800;
constexpr std::uint32_t kLastSurrogate = 0xDFFF;

// Properties of a sequence that follow from its first byte.
struct SequenceStart {
  std::size_t length = 0;                 // in bytes; 0: not a valid first byte
  std::uint32_t bits = 0;                 // of the code point, as far as the first byte holds them
  std::uint32_t smallest_code_point = 0;  // of this length; smaller ones have a shorter form
};

SequenceStart sequence_start(unsigned char first) {
  if (first < 0x80) return {1, first, 0};
  if ((first & 0xE0) == 0xC0) return {2, first & 0x1FU, 0x80};
  if ((first & 0xF0) == 0xE0) return {3, first & 0x0FU, 0x800};
  if ((first & 0xF8) == 0xF0) return {4, first & 0x07U, 0x10000};
  return {};
}

bool is_valid_code_point(std::uint32_t value, std::uint32_t smallest) {
  if (value < smallest || value > kLargestCodePoint) return false;
  return value < kFirstSurrogate || value > kLastSurrogate;
}

}  // namespace

bool is_valid_utf8(std::string_view text) {
  std::size_t position = 0;
  while (position < text.size()) {
    const SequenceStart start = sequence_start(static_cast<unsigned char>(text[position]));
    if (start.length == 0 || start.length > text.size() - position) return false;
    std::uint32_t value = start.bits;
    for (std::size_t offset = 1; offset < start.length; ++offset) {
      const auto next = static_cast<unsigned char>(text[position + offset]);
      if ((next & 0xC0) != 0x80) return false;
      value = (value << 6U) | (next & 0x3FU);
    }
    if (!is_valid_code_point(value, start.smallest_code_point)) return false;
    position += start.length;
  }
  return true;
}

}  // namespace winchhall::cluster
