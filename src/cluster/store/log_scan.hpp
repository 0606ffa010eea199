// Finds the last complete record in a file of LevelDB's log format (write-ahead logs and MANIFEST files).
//
// Every record is synced before the next is written, so a power loss can tear the last record only. Invalid
// data after the last complete record is such a torn tail and may be dropped. Invalid data before a complete
// record means that data which had been synced is damaged.
#pragma once

#include <cstddef>
#include <string_view>

namespace winchhall::cluster {

struct LogScanResult {
  std::size_t valid_bytes = 0;  // length of the prefix that consists of complete records
  bool damaged = false;         // a complete record follows invalid data
};

// `content` is the whole file.
LogScanResult scan_log(std::string_view content);

}  // namespace winchhall::cluster
