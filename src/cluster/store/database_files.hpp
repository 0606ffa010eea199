// The files that make up a LevelDB database, distinguished by their names.
#pragma once

#include <leveldb/env.h>

#include <string>
#include <vector>

namespace winchhall::cluster {

// Lists the names in a directory, without "." and "..". `names` is empty on an error.
leveldb::Status list_directory(leveldb::Env& files, const std::string& path, std::vector<std::string>& names);

bool is_manifest_file(const std::string& name);
// Write-ahead logs and MANIFEST files share one format.
bool has_log_format(const std::string& name);
// Write-ahead logs and tables: the files with the entries.
bool is_data_file(const std::string& name);
// Files that are needed to open the database, excluding the lock file.
bool is_database_file(const std::string& name);

}  // namespace winchhall::cluster
