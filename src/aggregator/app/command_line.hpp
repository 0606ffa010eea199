// The program's sub-commands. Without a sub-command the program serves with the configuration of its
// environment; that is how the platform starts it.
#pragma once

namespace winchhall::app {

// Runs the sub-command and returns the exit code: 0 success; 1 a fault in the checked input, or the command
// failed; 2 invalid arguments. `ranges diff` and `files diff` return 1 if the two inputs differ, as diff(1)
// does.
int run_command(int argc, char** argv);

}  // namespace winchhall::app
