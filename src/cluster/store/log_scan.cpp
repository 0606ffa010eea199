#include "cluster/store/log_scan.hpp"

#include <boost/crc.hpp>
#include <cstdint>
#include <optional>

namespace winchhall::cluster {

namespace {

// LevelDB's doc/log_format.md: blocks of 32 KiB with fragments that never cross their bounds. A fragment is a
// masked CRC-32C of type and data (4 bytes), the length of the data (2), the type (1) and the data.
constexpr std::size_t kBlockBytes = 32768;
constexpr std::size_t kHeaderBytes = 7;

enum class FragmentType : std::uint8_t { full = 1, first = 2, middle = 3, last = 4 };

struct Fragment {
  FragmentType type = FragmentType::full;
  std::size_t end = 0;  // offset behind it
};

std::uint32_t byte_at(std::string_view content, std::size_t offset) {
  return static_cast<unsigned char>(content[offset]);
}

std::uint32_t masked_checksum(std::string_view bytes) {
  constexpr std::uint32_t kMaskDelta = 0xa282ead8;
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  const std::uint32_t value = crc.checksum();
  return ((value >> 15) | (value << 17)) + kMaskDelta;
}

std::size_t block_end(std::size_t offset) { return (offset / kBlockBytes + 1) * kBlockBytes; }

std::size_t data_length(std::string_view content, std::size_t offset) {
  return byte_at(content, offset + 4) | byte_at(content, offset + 5) << 8;
}

// The fragment at an offset that leaves room for a header; none: it is not whole.
std::optional<Fragment> fragment_at(std::string_view content, std::size_t offset) {
  const std::size_t end = offset + kHeaderBytes + data_length(content, offset);
  const std::uint32_t type = byte_at(content, offset + 6);
  if (end > content.size() || end > block_end(offset) || type < 1 || type > 4) return std::nullopt;
  std::uint32_t stored = 0;
  for (std::size_t index = 0; index < 4; ++index) stored |= byte_at(content, offset + index) << (8 * index);
  const std::string_view checked = content.substr(offset + 6, end - offset - 6);
  if (stored != masked_checksum(checked)) return std::nullopt;
  return Fragment{static_cast<FragmentType>(type), end};
}

// Where to look on after a fragment that is not whole: behind it, if its length may be right.
std::size_t offset_behind_torn(std::string_view content, std::size_t offset) {
  const std::size_t length = data_length(content, offset);
  const std::size_t end = offset + kHeaderBytes + length;
  return length > 0 && end <= block_end(offset) ? end : block_end(offset);
}

}  // namespace

LogScanResult scan_log(std::string_view content) {
  LogScanResult scan;
  bool torn = false;
  bool in_record = false;
  std::size_t offset = 0;
  while (offset + kHeaderBytes <= content.size()) {
    if (block_end(offset) - offset < kHeaderBytes) {
      offset = block_end(offset);
      continue;
    }
    const std::optional<Fragment> fragment = fragment_at(content, offset);
    if (!fragment) {
      torn = true;
      in_record = false;
      offset = offset_behind_torn(content, offset);
      continue;
    }
    offset = fragment->end;
    const bool starts = fragment->type == FragmentType::full || fragment->type == FragmentType::first;
    const bool ends = fragment->type == FragmentType::full || fragment->type == FragmentType::last;
    if (starts == in_record) torn = true;  // The one before has no end, or this one no start.
    const bool complete = ends && (starts || in_record);
    in_record = !ends && (starts || in_record);
    if (!complete) continue;
    if (torn) {
      scan.damaged = true;
      return scan;
    }
    scan.valid_bytes = offset;
  }
  return scan;
}

}  // namespace winchhall::cluster
