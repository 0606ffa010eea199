// `winchhall files`: looks at a folder of watched files as the serving program would.
#pragma once

#include <string>
#include <vector>

namespace winchhall::app {

struct FilesCheck {
  std::string folder{};
  std::vector<std::string> zones{};
  long long cells = 0;
  bool json = false;
};

int check_folder(const FilesCheck& options);  // 0 sound; 1 with every fault printed
// Of a store, whether a program runs on it or not.
int show_store(const std::string& path, bool history, bool json);
// Leaves an operator's word for the program that runs on the store, and waits for its answer.
int leave_word(const std::string& path, const std::string& word, const std::string& digest);
int diff_folders(const std::string& a, const std::string& b);

}  // namespace winchhall::app
