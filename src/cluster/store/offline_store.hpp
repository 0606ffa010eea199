// Reads the store of a node that is not running. The files are copied to memory and opened there, so that a
// store that is looked at, damaged or whole, stays as it is.
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// All entries, in the order of their keys. Errors: StoreFailure (also where a running process has the store
// in use), StoreCorruption, UnsupportedStoreFormat.
leaf::result<std::vector<StoreEntry>> read_offline_store(const std::string& path, Disk& disk = local_disk());

// Makes a store in a folder that is empty or missing, with just these entries. Errors: StoreFailure.
leaf::result<void> create_offline_store(const std::string& path, const std::vector<StoreEntry>& entries,
                                        Disk& disk = local_disk());

}  // namespace winchhall::cluster
