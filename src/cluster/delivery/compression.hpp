// Compression of transfers (zlib).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::cluster {

// Limit on the result of decompress, as a protection against decompression bombs. It is far above the size of
// any configuration and within the memory of the smallest supported machine.
inline constexpr std::size_t kMaxUncompressedBytes = 32u << 20;

// Compresses a text; see decompress for the reverse.
std::string compress(std::string_view text);
// Reverses `compress`. None if the bytes are not a complete result of `compress`, or decompress to more than
// kMaxUncompressedBytes.
std::optional<std::string> decompress(std::string_view bytes);

}  // namespace winchhall::cluster
