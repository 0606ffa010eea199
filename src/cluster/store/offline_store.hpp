// Access to the store of a node that is not running, for the `store` commands of the operators.
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// Reads all entries in key order without changing the store, even if it is damaged: its files are copied to
// memory and opened there. Errors: StoreFailure (an I/O error, or a running process uses the store),
// StoreCorruption, UnsupportedStoreFormat.
leaf::result<std::vector<StoreEntry>> read_offline_store(const std::string& path, Disk& disk = local_disk());

// Creates a store with exactly these entries in an empty or missing directory. Entries are written in
// the given order, so that after an interruption only the later ones are missing. Errors: StoreFailure, and
// those of Database::open.
leaf::result<void> create_offline_store(const std::string& path, const std::vector<StoreEntry>& entries,
                                        Disk& disk = local_disk());

}  // namespace winchhall::cluster
