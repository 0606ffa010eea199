// What an acceptor has to know of its own place in the control group.
#pragma once

#include <cstdint>

namespace winchhall::cluster {

struct MembershipStatus {
  std::uint64_t id = 0;            // this node's member id; 0: none yet
  std::uint64_t member_epoch = 0;  // of the newest durable member record; 0: none
  // This node belongs to that record and holds the state on which it votes. Answers of an acceptor that
  // doesn't vote count for no majority.
  bool voting = false;
};

}  // namespace winchhall::cluster
