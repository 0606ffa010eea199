// Backups of a store: one versioned file with a checksum of its whole content.
//
// Layout, numbers little-endian: a line "winchhall-store-backup VERSION", the number of entries (8 bytes),
// for each entry the length of its key (4 bytes), the length of its value (4 bytes), its key and its value,
// and at the end the CRC-32C of everything before it (4 bytes).
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// Writes a new file and syncs it. Errors: StoreFailure (an I/O error, or the file exists).
leaf::result<void> write_backup(const std::string& file, const std::vector<StoreEntry>& entries);
// Reads and verifies a backup. Errors: StoreFailure (an I/O error), StoreCorruption (truncated, changed or
// not a backup), UnsupportedStoreFormat (written in another version of the format).
leaf::result<std::vector<StoreEntry>> read_backup(const std::string& file);

}  // namespace winchhall::cluster
