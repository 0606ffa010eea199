// Loads modules on first use, so that a process that doesn't need them doesn't load their libraries.
#pragma once

#include <string>

namespace winchhall::app {

// The function of that name in a module next to the program, in the build tree or an installation. Null if it
// can't be loaded; `why` then has the reason. A module is never unloaded, because its libraries have global
// state.
void* load_module_symbol(const char* module, const char* function, std::string& why);

}  // namespace winchhall::app
