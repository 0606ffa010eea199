#include "cluster/store/database_replacement.hpp"

#include <algorithm>
#include <vector>

namespace winchhall::cluster {

namespace {

// Stands from before the first file is moved until the new database is durable: else a database with some of
// its files moved could pass for a whole one.
const std::string kMarkName = "REPLACING";
const std::string kAsideName = "damaged";

std::vector<std::string> children(leveldb::Env& files, const std::string& folder) {
  std::vector<std::string> names;
  files.GetChildren(folder, &names);
  std::erase_if(names, [](const std::string& name) { return name == "." || name == ".."; });
  return names;
}

bool is_data_file(const std::string& name) {
  return name.ends_with(".log") || name.ends_with(".ldb") || name.ends_with(".sst");
}

leaf::error_id refused(const std::string& path, const char* detail) {
  return leaf::new_error(StoreFailure{path, "replace", detail});
}

bool set_mark(const std::string& path, Disk& disk) {
  const std::string mark = path + "/" + kMarkName;
  leveldb::WritableFile* opened = nullptr;
  if (!disk.files().NewWritableFile(mark, &opened).ok()) return false;
  const std::unique_ptr<leveldb::WritableFile> file(opened);
  return file->Append("1").ok() && file->Sync().ok() && file->Close().ok() && disk.sync_directory(path);
}

bool clear_mark(const std::string& path, Disk& disk) {
  return disk.files().RemoveFile(path + "/" + kMarkName).ok() && disk.sync_directory(path);
}

bool move_aside(const std::string& path, Disk& disk) {
  leveldb::Env& files = disk.files();
  const std::string aside = path + "/" + kAsideName;
  if (!disk.create_directories(aside)) return false;
  for (const std::string& name : children(files, aside)) files.RemoveFile(aside + "/" + name);
  for (const std::string& name : children(files, path)) {
    if (name == kMarkName || name == kAsideName) continue;
    if (!files.RenameFile(path + "/" + name, aside + "/" + name).ok()) return false;
  }
  return disk.sync_directory(aside) && disk.sync_directory(path);
}

}  // namespace

bool needs_replacement(const std::string& path, Disk& disk) {
  leveldb::Env& files = disk.files();
  if (files.FileExists(path + "/" + kMarkName)) return true;
  if (files.FileExists(path + "/CURRENT")) return false;
  // CURRENT lasts before the first of these is made.
  const std::vector<std::string> names = children(files, path);
  return std::any_of(names.begin(), names.end(), is_data_file);
}

leaf::result<std::unique_ptr<Database>> replace_damaged_database(const std::string& path, Disk& disk,
                                                                 const StoreTuning& tuning) {
  if (!set_mark(path, disk)) return refused(path, "mark can't be set");
  if (!move_aside(path, disk)) return refused(path, "files can't be moved");
  BOOST_LEAF_AUTO(database, Database::open(path, disk, tuning, OpenMode::create_if_missing));
  if (!database->mark_replacement()) return refused(path, "new database can't be marked");
  if (!clear_mark(path, disk)) return refused(path, "mark can't be removed");
  return database;
}

}  // namespace winchhall::cluster
