// File operations of the store: LevelDB's own, except that a renamed file lasts through a loss of power.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace winchhall::cluster {

// Syncs a folder, so that names made, renamed or removed in it last. False: the disk refused.
bool sync_folder(const std::string& path);

// LevelDB renames its CURRENT file and then removes what the older one referred to, with no sync of the
// folder between: after a loss of power the old name could be back while its target is gone. Here the rename
// is synced.
class SyncedEnv : public leveldb::EnvWrapper {
 public:
  SyncedEnv() : leveldb::EnvWrapper(leveldb::Env::Default()) {}

  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
};

}  // namespace winchhall::cluster
