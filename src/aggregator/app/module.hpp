// Modules that are loaded only where they are used: who does without pays nothing for their libraries.
#pragma once

#include <string>

namespace winchhall::app {

// The function of that name in a module beside the program, in the build tree or an installation. Null, and
// why. A module stays for the life of the program: its libraries have global state of their own.
void* symbol_beside(const char* module, const char* function, std::string& why);

}  // namespace winchhall::app
