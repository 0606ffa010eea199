// The store's access to a disk: LevelDB's file operations and those that LevelDB lacks. Tests substitute a
// simulated disk.
#pragma once

#include <leveldb/env.h>

#include <string>

namespace winchhall::cluster {

// Thread-safe, as leveldb::Env is.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual leveldb::Env& files() = 0;
  // Creates a directory and any missing parents, and syncs the parent so that the directory survives a power
  // loss. Returns false if it could not be created.
  virtual bool create_directories(const std::string& path) = 0;
  // Makes the names created, renamed and removed in a directory durable. Returns false on an I/O error.
  virtual bool sync_directory(const std::string& path) = 0;
};

// The machine's file system. Never destroyed: a detached writer thread may outlive `main`.
Disk& local_disk();

}  // namespace winchhall::cluster
