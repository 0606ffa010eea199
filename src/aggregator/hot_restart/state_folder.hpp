// The folder in which processes of one aggregator leave their states: written whole or not at all, read as a
// whole. Blocks on files; meant for a thread beside the loop.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "aggregator/hot_restart/process_state.hpp"

namespace winchhall::hot_restart {

class Folder {
 public:
  // In `parent`, which must be there; empty: nowhere, and nothing is written or found.
  explicit Folder(const std::string& parent);
  bool works() const { return !path_.empty(); }

  // False where the folder can't be written to.
  bool leave(const State& state);
  void remove(const ProcessId& id);  // this process leaves in order

  struct FolderScan {
    std::vector<State> states{};
    std::vector<std::string> set_aside{};  // files that are no state, renamed, and why
  };
  FolderScan scan() const;

 private:
  std::string file_of(const ProcessId& id) const { return path_ + "/" + id.text() + ".state"; }
  std::string path_;
};

}  // namespace winchhall::hot_restart
