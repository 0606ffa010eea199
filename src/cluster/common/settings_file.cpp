#include "cluster/common/settings_file.hpp"

#include <sys/stat.h>

#include <utility>

namespace winchhall::cluster {

bool SettingsFile::changed() const {
  const std::optional<Stamp> found = stamp();
  return found && found != read_at_;
}

leaf::result<bool> SettingsFile::reload() {
  // Taken before the file is read: a change in between shows as a further one.
  read_at_ = stamp();
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

std::optional<SettingsFile::Stamp> SettingsFile::stamp() const {
  struct stat found {};
  if (::stat(current_.path.c_str(), &found) != 0) return std::nullopt;
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  const std::int64_t changed_ns = found.st_mtim.tv_sec * kNanosPerSecond + found.st_mtim.tv_nsec;
  return Stamp{found.st_ino, found.st_size, changed_ns};
}

}  // namespace winchhall::cluster
