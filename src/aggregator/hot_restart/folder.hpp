// The folder in which processes of one aggregator leave their states: written whole or not at all, read as a
// whole. Blocks on files; meant for a thread beside the loop.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "aggregator/hot_restart/state.hpp"

namespace winchhall::takeover {

class Folder {
 public:
  // In `parent`, which must be there; empty: nowhere, and nothing is written or found.
  explicit Folder(const std::string& parent);
  bool works() const { return !path_.empty(); }

  // False where the folder can't be written to.
  bool leave(const State& state);
  void remove(const Who& who);  // this process leaves in order

  struct Found {
    std::vector<State> states{};
    std::vector<std::string> set_aside{};  // files that are no state, renamed, and why
  };
  Found look() const;

 private:
  std::string file_of(const Who& who) const { return path_ + "/" + who.text() + ".state"; }
  std::string path_;
};

}  // namespace winchhall::takeover
