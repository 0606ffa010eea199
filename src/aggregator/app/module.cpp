#include "aggregator/app/module.hpp"

#include <dlfcn.h>

#include "aggregator/app/beside.hpp"

namespace winchhall::app {

void* symbol_beside(const char* module, const char* function, std::string& why) {
  std::string name = module;
  for (const std::string& path :
       {beside_program(module), beside_program(("../lib/winchhall/" + name).c_str()),
        beside_program(("../" + name).c_str())}) {
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
