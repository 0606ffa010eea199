// What the store needs of a disk: LevelDB's file operations, and those that LevelDB lacks. Tests put a
// simulated disk in its place.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace winchhall::cluster {

class Disk {
 public:
  virtual ~Disk() = default;
  virtual leveldb::Env& files() = 0;
  // Makes a folder, and those above it, so that it lasts through a loss of power. False: the disk refused.
  virtual bool create_directories(const std::string& path) = 0;
  // Syncs a folder, so that names made, renamed or removed in it last. False: the disk refused.
  virtual bool sync_directory(const std::string& path) = 0;
};

// The machine's own disk. Never destroyed: a thread that hangs on the disk may outlive `main`.
Disk& local_disk();

}  // namespace winchhall::cluster
