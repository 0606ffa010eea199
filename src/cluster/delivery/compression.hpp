// Compression of transfers (zlib).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::cluster {

// Limit on the result of decompress, against decompression bombs: far above the size of any configuration,
// and within the memory of the smallest supported machine.
inline constexpr std::size_t kMaxUncompressedBytes = 32u << 20;

std::string compress(std::string_view text);
// None: not a complete result of `compress`, or it decompresses to more than kMaxUncompressedBytes.
std::optional<std::string> decompress(std::string_view bytes);

}  // namespace winchhall::cluster
