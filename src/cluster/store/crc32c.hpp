// CRC-32C (Castagnoli), the checksum of LevelDB's logs and of backup files (RFC 3720, appendix B.4).
#pragma once

#include <cstdint>
#include <string_view>

namespace winchhall::cluster {

std::uint32_t crc32c(std::string_view bytes);

}  // namespace winchhall::cluster
