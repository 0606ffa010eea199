#include "cluster/store/database_replacement.hpp"

#include <algorithm>
#include <vector>

#include "cluster/store/database_files.hpp"

namespace winchhall::cluster {

namespace {

// File that exists from before the first file is moved until the new database is durable. Without it, after
// an interruption, a database with some of its files moved away could be opened as if it were complete.
const std::string kMarkerName = "REPLACING";
const std::string kDamagedDirectoryName = "damaged";

leaf::error_id replacement_error(const std::string& path, const char* detail) {
  return leaf::new_error(StoreFailure{path, "replace", detail});
}

bool create_marker(const std::string& path, Disk& disk) {
  const std::string marker = path + "/" + kMarkerName;
  leveldb::WritableFile* opened = nullptr;
  if (!disk.files().NewWritableFile(marker, &opened).ok()) return false;
  const std::unique_ptr<leveldb::WritableFile> file(opened);
  return file->Append("1").ok() && file->Sync().ok() && file->Close().ok() && disk.sync_directory(path);
}

bool remove_marker(const std::string& path, Disk& disk) {
  return disk.files().RemoveFile(path + "/" + kMarkerName).ok() && disk.sync_directory(path);
}

void remove_files_in(const std::string& directory, leveldb::Env& files) {
  std::vector<std::string> names;
  list_directory(files, directory, names);
  for (const std::string& name : names) files.RemoveFile(directory + "/" + name);
}

bool move_to_damaged_directory(const std::string& path, Disk& disk) {
  leveldb::Env& files = disk.files();
  const std::string damaged = path + "/" + kDamagedDirectoryName;
  if (!disk.create_directories(damaged)) return false;
  remove_files_in(damaged, files);
  std::vector<std::string> names;
  list_directory(files, path, names);
  for (const std::string& name : names) {
    if (name == kMarkerName || name == kDamagedDirectoryName) continue;
    if (!files.RenameFile(path + "/" + name, damaged + "/" + name).ok()) return false;
  }
  return disk.sync_directory(damaged) && disk.sync_directory(path);
}

}  // namespace

bool needs_replacement(const std::string& path, Disk& disk) {
  leveldb::Env& files = disk.files();
  if (files.FileExists(path + "/" + kMarkerName)) return true;
  if (files.FileExists(path + "/CURRENT")) return false;
  // LevelDB makes CURRENT durable before it creates the first data file: without CURRENT, a data file means
  // that CURRENT was lost.
  std::vector<std::string> names;
  list_directory(files, path, names);
  return std::any_of(names.begin(), names.end(), is_data_file);
}

leaf::result<std::unique_ptr<Database>> replace_damaged_database(const std::string& path, Disk& disk,
                                                                 const StoreTuning& tuning) {
  if (!create_marker(path, disk)) return replacement_error(path, "marker file REPLACING can't be created");
  if (!move_to_damaged_directory(path, disk))
    return replacement_error(path, "files can't be moved to the sub-directory damaged");
  BOOST_LEAF_AUTO(database, Database::open(path, disk, tuning, OpenMode::create_if_missing));
  if (!database->record_replacement())
    return replacement_error(path, "new database can't be marked as a replacement");
  if (!remove_marker(path, disk)) return replacement_error(path, "marker file REPLACING can't be removed");
  return database;
}

}  // namespace winchhall::cluster
