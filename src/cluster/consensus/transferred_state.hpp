// Data type for the state of another acceptor that a state transfer copies.
#pragma once

#include <map>
#include <string>

#include "cluster/consensus/shard_replica.hpp"

namespace winchhall::cluster {

// A copy of one acceptor's whole state: its shard replicas and its registers.
struct TransferredState {
  std::map<std::string, ShardReplica> shards;            // by name of the shard
  std::map<std::string, wire::RegisterState> registers;  // by key
};

}  // namespace winchhall::cluster
