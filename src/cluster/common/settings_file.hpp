// Change detection and reload of the settings file of a running process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// The settings in effect and the file that they were read from. Reads the file only on request. Not
// thread-safe.
class SettingsFile {
 public:
  // `current`: the settings in effect, with the path of their file.
  explicit SettingsFile(NodeSettings current) : current_(std::move(current)) {}

  // Whether the file's inode, size or modification time differs from the last reload. Always true before the
  // first reload, because the file may have changed since the process read it at its start. A file that
  // doesn't exist counts as unchanged.
  bool changed() const;

  // Reads and validates the file. Settings that may change at run time (the seeds) take effect in `current`;
  // all others keep their values from the start. Returns whether `current` changed. Errors: InvalidInput,
  // also for a file that no longer names any seed; `current` is then unchanged.
  leaf::result<bool> reload();

  // Whether the last file read differs in settings that take effect only at a restart.
  bool needs_restart() const { return needs_restart_; }

  // The settings in effect.
  const NodeSettings& current() const { return current_; }

 private:
  // Identifies a version of the file's content without reading it.
  struct FileVersion {
    std::uint64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t modified_ns = 0;

    bool operator==(const FileVersion&) const = default;
  };

  std::optional<FileVersion> file_version() const;

  NodeSettings current_;
  std::optional<FileVersion> last_read_;
  bool needs_restart_ = false;
};

}  // namespace winchhall::cluster
