// Compression of what goes over narrow links (zlib).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::cluster {

// Bytes that a compressed text may make: beyond any configuration, below what the smallest machine bears.
inline constexpr std::size_t kMaxUncompressedBytes = 32u << 20;

std::string compress(std::string_view text);
// None: not made by `compressed`, cut short, or beyond kMaxUncompressedBytes.
std::optional<std::string> decompress(std::string_view bytes);

}  // namespace winchhall::cluster
