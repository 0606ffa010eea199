#include "cluster/common/settings_file.hpp"

#include <sys/stat.h>

#include <utility>

namespace winchhall::cluster {

bool SettingsFile::changed() const {
  const std::optional<FileVersion> found = file_version();
  return found && found != last_read_;
}

leaf::result<bool> SettingsFile::reload() {
  // Taken before the file is read, so that a change in between is detected by the next poll.
  last_read_ = file_version();
  BOOST_LEAF_AUTO(newest, load_settings(current_.path));
  if (newest.seeds.empty() && !current_.seeds.empty()) {
    return leaf::new_error(
        InvalidInput{current_.path, "seeds", "", "at least one address of a control node"});
  }
  const bool differs = newest.seeds != current_.seeds;
  current_.seeds = std::move(newest.seeds);
  newest.seeds = current_.seeds;
  needs_restart_ = newest != current_;
  return differs;
}

std::optional<SettingsFile::FileVersion> SettingsFile::file_version() const {
  struct stat status {};
  if (::stat(current_.path.c_str(), &status) != 0) return std::nullopt;
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  const std::int64_t modified_ns = status.st_mtim.tv_sec * kNanosPerSecond + status.st_mtim.tv_nsec;
  return FileVersion{status.st_ino, status.st_size, modified_ns};
}

}  // namespace winchhall::cluster
