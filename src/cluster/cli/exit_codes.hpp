// Exit codes of the program, by kind of failure. Part of its interface: scripts tell failures apart by them.
#pragma once

namespace winchhall::cluster {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitInternal = 1;     // a failure of no other kind
inline constexpr int kExitUsage = 2;        // the command line can't be understood
inline constexpr int kExitInvalid = 3;      // settings or input can't be used
inline constexpr int kExitUnavailable = 4;  // no control node, no majority, or no store or address answers
inline constexpr int kExitConflict = 5;     // another configuration version is current
inline constexpr int kExitNotFound = 6;     // no such job, service or configuration

}  // namespace winchhall::cluster
