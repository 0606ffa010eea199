// The settings file of a running process: notices that it has changed and reads it again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

class SettingsFile {
 public:
  // `current`: the settings in force, with the path of their file.
  explicit SettingsFile(NodeSettings current) : current_(std::move(current)) {}

  // True if the file differs, by its inode, size or time of change, from when it was read last; the first
  // call after the start is always true, as the file may have changed since the process read it. A file that
  // can't be found counts as unchanged.
  bool changed() const;
  // Reads and checks the file. What may change at run time (the seeds) is adopted, everything else stays as
  // it was at the start. True: the settings in force changed. Errors: InvalidInput; the settings in force
  // stay.
  leaf::result<bool> reload();
  // The newest file differs in what only a restart brings into force.
  bool needs_restart() const { return needs_restart_; }
  const NodeSettings& current() const { return current_; }

 private:
  // What tells two states of a file apart.
  struct Stamp {
    std::uint64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t changed_ns = 0;

    bool operator==(const Stamp&) const = default;
  };

  std::optional<Stamp> stamp() const;

  NodeSettings current_;
  std::optional<Stamp> read_at_;
  bool needs_restart_ = false;
};

}  // namespace winchhall::cluster
