#include "app/operator_file.hpp"

#include <dlfcn.h>
#include <unistd.h>

namespace winchhall::app {
namespace {

std::string beside_program(const char* name) {
  char path[4096];
  ssize_t n = readlink("/proc/self/exe", path, sizeof path);
  std::string program(path, n > 0 ? static_cast<std::size_t>(n) : 0);
  return program.substr(0, program.rfind('/') + 1) + name;
}

OperatorReader load(std::string& why) {
  // Of the build tree, or of an installation.
  for (const std::string& path :
       {beside_program("winchhall_operator.so"), beside_program("../lib/winchhall/winchhall_operator.so")}) {
    void* module = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (!module) {
      why = dlerror();
      continue;
    }
    // Kept for the life of the program: the library has global state of its own.
    if (void* symbol = dlsym(module, "winchhall_read_operator_file"))
      return reinterpret_cast<OperatorReader>(symbol);
    why = dlerror();
  }
  return nullptr;
}

}  // namespace

std::vector<Fault> read_operator_file(const std::string& path, OperatorSettings& settings) {
  std::string why;
  static OperatorReader reader = load(why);
  if (!reader) return {{path, 0, "operator files cannot be read: " + why}};
  std::vector<Fault> faults;
  reader(path, settings, faults);
  return faults;
}

}  // namespace winchhall::app
