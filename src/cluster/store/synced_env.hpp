// File operations of the store: LevelDB's own, made safe against losses of power (docs/store-safety.md).
#pragma once

#include <leveldb/env.h>

#include <string>

#include "cluster/store/disk.hpp"

namespace winchhall::cluster {

class SyncedEnv : public leveldb::EnvWrapper {
 public:
  explicit SyncedEnv(Disk& disk) : leveldb::EnvWrapper(&disk.files()), disk_(disk) {}

  // LevelDB renames its CURRENT file and then removes what the older one referred to, with no sync of the
  // folder between: after a loss of power the old name could be back while its target is gone. Here the
  // rename is synced.
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  // Keeps the MANIFEST that CURRENT names: LevelDB removes it when the sync of the renamed CURRENT fails,
  // although the new name may be in force.
  leveldb::Status RemoveFile(const std::string& path) override;
  // Write-ahead logs and MANIFEST files end with their last whole record: LevelDB refuses to open a database
  // whose MANIFEST has a torn end. Corruption: damage before the last record.
  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override;

 private:
  bool is_current_manifest(const std::string& path);

  Disk& disk_;
};

}  // namespace winchhall::cluster
