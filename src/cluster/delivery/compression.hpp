// Compression of what goes over narrow links (zlib).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace winchhall::cluster {

// Bytes that a compressed text may make: beyond any configuration, below what the smallest machine bears.
inline constexpr std::size_t kMostUncompressedBytes = 32u << 20;

std::string compressed(std::string_view text);
// None: not made by `compressed`, cut short, or beyond kMostUncompressedBytes.
std::optional<std::string> uncompressed(std::string_view bytes);

}  // namespace winchhall::cluster
