// The state of another acceptor as a state transfer copies it.
#pragma once

#include <map>
#include <string>

#include "cluster/consensus/shard_replica.hpp"

namespace winchhall::cluster {

struct TransferredState {
  std::map<std::string, ShardReplica> shards;            // by name of the shard
  std::map<std::string, wire::RegisterState> registers;  // by key
};

}  // namespace winchhall::cluster
