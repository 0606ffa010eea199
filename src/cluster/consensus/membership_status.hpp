// What an acceptor has to know of its own place in the control group.
#pragma once

#include <cstdint>

namespace winchhall::cluster {

struct MembershipStatus {
  std::uint64_t id = 0;
  std::uint64_t member_epoch = 0;  // of the newest durable member record; 0: none
  bool voting = false;             // a member of that record that holds the state its votes are asked for
};

}  // namespace winchhall::cluster
