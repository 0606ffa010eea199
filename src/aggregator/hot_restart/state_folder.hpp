// The folder in which processes of one aggregator publish their states. Writes are atomic (temporary file and
// rename). All calls block on file I/O: they belong on a worker thread, not on the event loop.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "aggregator/hot_restart/process_state.hpp"

namespace winchhall::hot_restart {

// One file per process, `<started>-<pid>.state`, in the subfolder `winchhall`. Not thread-safe.
class StateFolder {
 public:
  // Creates the subfolder in `parent`, which must exist. If that fails, or `parent` is empty, nothing is
  // written or found, and is_usable() is false.
  explicit StateFolder(const std::string& parent);
  bool is_usable() const { return !path_.empty(); }

  // Publishes a state. False if it couldn't be written; the previous file then stays.
  bool publish(const State& state);
  void remove(const ProcessId& id);  // of a process that shuts down or has expired; errors are ignored

  struct FolderScan {
    std::vector<State> states{};
    std::vector<std::string> set_aside{};  // unreadable files, renamed to *.set-aside, with the reason
  };
  // Reads all states; renames files that can't be decoded.
  FolderScan scan() const;

 private:
  std::string file_of(const ProcessId& id) const { return path_ + "/" + id.text() + ".state"; }
  std::string path_;
};

}  // namespace winchhall::hot_restart
