// Copy of what another acceptor holds, for a newcomer.
#pragma once

#include <map>
#include <string>

#include "cluster/consensus/shard_acceptor.hpp"

namespace winchhall::cluster {

struct TransferredState {
  std::map<std::string, ShardReplica> shards;
  std::map<std::string, wire::RegisterState> registers;
};

}  // namespace winchhall::cluster
