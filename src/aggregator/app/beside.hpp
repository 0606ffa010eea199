// Files that belong to this program and stand beside it.
#pragma once

#include <unistd.h>

#include <string>

namespace winchhall::app {

inline std::string beside_program(const char* name) {
  char path[4096];
  ssize_t n = readlink("/proc/self/exe", path, sizeof path);
  std::string program(path, n > 0 ? static_cast<std::size_t>(n) : 0);
  return program.substr(0, program.rfind('/') + 1) + name;
}

}  // namespace winchhall::app
