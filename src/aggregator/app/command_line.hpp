// The program's sub-commands. Without any, it serves by its environment, as the platform starts it.
#pragma once

namespace winchhall::app {

// Exit codes: 0 done; 1 something is wrong with what was looked at, or it could not be done; 2 the command
// itself is wrong; `ranges diff`: 1 where the two differ, as diff has it.
int run_command(int argc, char** argv);

}  // namespace winchhall::app
