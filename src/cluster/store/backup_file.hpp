// Backups of a store: one file, versioned, checked as a whole.
//
// Layout, all numbers little-endian: a line with the format's name and version, the number of entries (8
// bytes), each entry's key length (4), value length (4), key and value, and the CRC-32C of all before it (4).
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// Writes a new file and syncs it. Errors: StoreFailure (also where the file exists).
leaf::result<void> write_backup(const std::string& file, const std::vector<StoreEntry>& entries);
// Errors: StoreFailure, StoreCorruption (cut off or changed), UnsupportedStoreFormat.
leaf::result<std::vector<StoreEntry>> read_backup(const std::string& file);

}  // namespace winchhall::cluster
