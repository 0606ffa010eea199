// Finds the end of what is whole in a file of LevelDB's log format (write-ahead logs and MANIFEST files).
//
// The store syncs after each record, so at most the last one may be torn by a loss of power. What follows the
// last whole record is such a torn end, unless another whole record stands behind it: then synced data is
// damaged.
#pragma once

#include <cstddef>
#include <string_view>

namespace winchhall::cluster {

struct LogScanResult {
  std::size_t valid_bytes = 0;  // length of the part that consists of whole records
  bool damaged = false;         // a whole record stands behind one that is not
};

LogScanResult scan_log(std::string_view content);

}  // namespace winchhall::cluster
