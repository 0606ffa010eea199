#include "cluster/store/log_scan.hpp"

#include <cstdint>
#include <optional>

#include "cluster/store/crc32c.hpp"

namespace winchhall::cluster {

namespace {

// LevelDB's doc/log_format.md: a log is a sequence of blocks of 32 KiB. A record is split into fragments that
// don't cross a block's end. A fragment is a masked CRC-32C of type and data (4 bytes), the length of the
// data (2 bytes), the type (1 byte) and the data; numbers are little-endian.
constexpr std::size_t kBlockBytes = 32768;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kTypeOffset = 6;
constexpr std::size_t kHeaderBytes = 7;

enum class FragmentType : std::uint8_t { full = 1, first = 2, middle = 3, last = 4 };

struct Fragment {
  FragmentType type = FragmentType::full;
  std::size_t end = 0;  // offset of the first byte after the fragment
};

std::uint32_t byte_at(std::string_view content, std::size_t offset) {
  return static_cast<unsigned char>(content[offset]);
}

std::uint32_t checksum_at(std::string_view content, std::size_t offset) {
  std::uint32_t checksum = 0;
  for (std::size_t index = 0; index < 4; ++index) checksum |= byte_at(content, offset + index) << (8 * index);
  return checksum;
}

std::size_t length_at(std::string_view content, std::size_t offset) {
  return byte_at(content, offset + kLengthOffset) | byte_at(content, offset + kLengthOffset + 1) << 8;
}

// LevelDB stores checksums masked, since the CRC of data that contains CRCs is weak.
std::uint32_t masked_crc32c(std::string_view bytes) {
  constexpr std::uint32_t kMaskDelta = 0xa282ead8;
  const std::uint32_t crc = crc32c(bytes);
  return ((crc >> 15) | (crc << 17)) + kMaskDelta;
}

std::size_t block_end(std::size_t offset) { return (offset / kBlockBytes + 1) * kBlockBytes; }

bool fits_header(std::size_t offset) { return block_end(offset) - offset >= kHeaderBytes; }

// The fragment at an offset where a whole header is present; none if the fragment is incomplete or invalid.
std::optional<Fragment> read_fragment(std::string_view content, std::size_t offset) {
  const std::size_t end = offset + kHeaderBytes + length_at(content, offset);
  const std::uint32_t type = byte_at(content, offset + kTypeOffset);
  if (end > content.size() || end > block_end(offset) || type < 1 || type > 4) return std::nullopt;
  const std::string_view checked = content.substr(offset + kTypeOffset, end - offset - kTypeOffset);
  if (checksum_at(content, offset) != masked_crc32c(checked)) return std::nullopt;
  return Fragment{static_cast<FragmentType>(type), end};
}

// Where to resume after an invalid fragment: after its data if its length is plausible, else at the next
// block.
std::size_t offset_after_invalid(std::string_view content, std::size_t offset) {
  const std::size_t length = length_at(content, offset);
  const std::size_t end = offset + kHeaderBytes + length;
  return length > 0 && end <= block_end(offset) ? end : block_end(offset);
}

// Assembles records from consecutive fragments.
class RecordAssembler {
 public:
  void on_invalid_fragment() {
    has_gap_ = true;
    in_record_ = false;
  }
  // Returns true if the fragment completes a record.
  bool on_fragment(FragmentType type) {
    const bool starts = type == FragmentType::full || type == FragmentType::first;
    const bool ends = type == FragmentType::full || type == FragmentType::last;
    // Either the previous record has no end, or this one has no start.
    if (starts == in_record_) has_gap_ = true;
    const bool belongs_to_record = starts || in_record_;
    in_record_ = belongs_to_record && !ends;
    return belongs_to_record && ends;
  }
  // True if a part of some record was missing or invalid so far.
  bool has_gap() const { return has_gap_; }

 private:
  bool has_gap_ = false;
  bool in_record_ = false;
};

}  // namespace

LogScanResult scan_log(std::string_view content) {
  LogScanResult result;
  RecordAssembler records;
  std::size_t offset = 0;
  while (offset + kHeaderBytes <= content.size()) {
    if (!fits_header(offset)) {
      offset = block_end(offset);
      continue;
    }
    const std::optional<Fragment> fragment = read_fragment(content, offset);
    if (!fragment) {
      records.on_invalid_fragment();
      offset = offset_after_invalid(content, offset);
      continue;
    }
    offset = fragment->end;
    if (!records.on_fragment(fragment->type)) continue;
    if (records.has_gap()) {
      result.damaged = true;
      return result;
    }
    result.valid_bytes = offset;
  }
  return result;
}

}  // namespace winchhall::cluster
