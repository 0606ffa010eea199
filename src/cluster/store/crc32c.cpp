#include "cluster/store/crc32c.hpp"

#include <boost/crc.hpp>

namespace winchhall::cluster {

std::uint32_t crc32c(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace winchhall::cluster
