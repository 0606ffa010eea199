// `winchhall files`: checks folders of configuration files as the serving program would, and inspects its
// store.
#pragma once

#include <string>
#include <vector>

namespace winchhall::app {

// Arguments of `winchhall files check`.
struct FilesCheckOptions {
  std::string folder{};
  std::vector<std::string> zones{};  // valid zones; empty: any
  long long cells = 0;               // valid cells are 0 to cells - 1; 0: any
  bool json = false;
};

// The functions print their results and return the exit code. They throw std::runtime_error if the folder or
// store can't be read.

// Prints every fault of the folder's files; 0 if there is none, otherwise 1.
int check_folder(const FilesCheckOptions& options);
// Prints the latest verdict in a store, or with `history` all of them; 1 if there is none. A program may be
// running on the store.
int show_store(const std::string& path, bool history, bool json);
// Puts an operator's command (`accept` or `rollback`) for a generation into the store, and waits for the
// answer of the program that runs on it.
int submit_command(const std::string& path, const std::string& action, const std::string& digest);
// Prints the differences between the configurations of two folders; 1 if there are any.
int diff_folders(const std::string& a, const std::string& b);

}  // namespace winchhall::app
