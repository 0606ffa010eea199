// `winchhall control`: commands to the admin port of a running program.
#pragma once

#include <string>

namespace winchhall::app {

// Address of the admin port from LB_CONTROL, or else from the configuration that LB_CONFIG names; empty if
// neither has one.
std::string control_address();

// Sends the command, prints the answer and returns the exit code: 0 for ACK, 1 for NAK. Throws
// std::runtime_error if no answer arrives in time.
int call_admin_server(const std::string& address, const std::string& command, bool json);

}  // namespace winchhall::app
