#include "aggregator/app/module_loader.hpp"

#include <dlfcn.h>

#include "aggregator/app/program_path.hpp"

namespace winchhall::app {

void* load_module_symbol(const char* module, const char* function, std::string& why) {
  std::string name = module;
  for (const std::string& path :
       {path_next_to_program(module), path_next_to_program(("../lib/winchhall/" + name).c_str()),
        path_next_to_program(("../" + name).c_str())}) {
    void* loaded = dlopen(path.c_str(), RTLD_NOW | RTLD_LOCAL);
    if (!loaded) {
      why = dlerror();
      continue;
    }
    if (void* symbol = dlsym(loaded, function)) return symbol;
    why = std::string("no ") + function;
  }
  return nullptr;
}

}  // namespace winchhall::app
