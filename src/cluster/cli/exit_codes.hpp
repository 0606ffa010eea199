// Exit codes of the program, by kind of failure. They are part of its interface: scripts depend on them.
#pragma once

namespace winchhall::cluster {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitInternal = 1;  // any other failure
inline constexpr int kExitUsage = 2;     // invalid command line
inline constexpr int kExitInvalid = 3;   // invalid settings or input
// No control node or no majority responds, or a store or an address is not available.
inline constexpr int kExitUnavailable = 4;
inline constexpr int kExitConflict = 5;  // another configuration version is current
inline constexpr int kExitNotFound = 6;  // no such job, service or configuration

}  // namespace winchhall::cluster
