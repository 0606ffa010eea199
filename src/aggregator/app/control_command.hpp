// Calls at the operators' door of a running program.
#pragma once

#include <string>

namespace winchhall::app {

// Where LB_CONTROL or the configuration of LB_CONFIG says; empty where neither does.
std::string control_address();

// Calls, prints the answer, and is 0 for ACK, 1 for NAK. Throws std::runtime_error where no answer comes in
// time.
int call_door(const std::string& at, const std::string& word, bool json);

}  // namespace winchhall::app
