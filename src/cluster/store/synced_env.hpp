// LevelDB's file operations, made safe against power loss (see docs/store-safety.md).
#pragma once

#include <leveldb/env.h>

#include <string>

#include "cluster/store/disk.hpp"

namespace winchhall::cluster {

// Adds directory syncs, protection of the current MANIFEST and tolerance of torn log tails to a Disk's files.
class SyncedEnv : public leveldb::EnvWrapper {
 public:
  // `disk` must outlive the environment.
  explicit SyncedEnv(Disk& disk) : leveldb::EnvWrapper(&disk.files()), disk_(disk) {}

  // Renames and syncs the directory. LevelDB renames a new CURRENT file into place and then deletes the files
  // that the old one referred to without syncing the directory in between: after a power loss the old CURRENT
  // could reappear while its MANIFEST is gone.
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  // Refuses to delete the MANIFEST that CURRENT names. LevelDB deletes it when the sync of the renamed
  // CURRENT fails, although the new name may be in effect.
  leveldb::Status RemoveFile(const std::string& path) override;
  // Opens write-ahead logs and MANIFEST files truncated to their last complete record, since LevelDB refuses
  // to open a database whose MANIFEST has a torn tail. Status Corruption: invalid data precedes a complete
  // record.
  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override;

 private:
  bool is_current_manifest(const std::string& path);

  Disk& disk_;
};

}  // namespace winchhall::cluster
