#include "cluster/store/synced_env.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace winchhall::cluster {

bool sync_folder(const std::string& path) {
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  const bool synced = ::fsync(folder) == 0;
  ::close(folder);
  return synced;
}

leveldb::Status SyncedEnv::RenameFile(const std::string& from, const std::string& to) {
  const leveldb::Status renamed = leveldb::EnvWrapper::RenameFile(from, to);
  if (!renamed.ok()) return renamed;
  const std::string folder = std::filesystem::path(to).parent_path().string();
  if (sync_folder(folder)) return renamed;
  return leveldb::Status::IOError(folder, std::strerror(errno));
}

}  // namespace winchhall::cluster
