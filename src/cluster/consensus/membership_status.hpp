// What a node's acceptor needs to know about the node's membership in the control group.
#pragma once

#include <cstdint>

namespace winchhall::cluster {

struct MembershipStatus {
  std::uint64_t id = 0;            // this node's member id; 0: none yet
  std::uint64_t member_epoch = 0;  // of the newest durable member record; 0: none
  // This node is a member of that record and holds the state that voting requires. The answers of an acceptor
  // that doesn't vote never count for a majority.
  bool voting = false;
};

}  // namespace winchhall::cluster
