// Paths of files that are installed next to this program.
#pragma once

#include <unistd.h>

#include <string>

namespace winchhall::app {

// The path of `name` in the folder of the running program.
inline std::string path_next_to_program(const char* name) {
  char path[4096];
  ssize_t n = readlink("/proc/self/exe", path, sizeof path);
  std::string program(path, n > 0 ? static_cast<std::size_t>(n) : 0);
  return program.substr(0, program.rfind('/') + 1) + name;
}

}  // namespace winchhall::app
