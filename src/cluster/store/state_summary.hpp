// The entries of a control node's store, as consensus/ writes them: read for people, and carried over to a
// new group.
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// What a store holds, in numbers.
struct StateSummary {
  std::size_t entries = 0;
  std::size_t bytes = 0;
  std::size_t registers = 0;
  std::size_t shards = 0;
  std::size_t records = 0;
  std::vector<std::string> unreadable;  // keys of unknown kind, or whose value can't be parsed
  wire::NodeIdentity identity;
  wire::MemberRecord members;
};

StateSummary summarize_state(const std::vector<StoreEntry>& entries);
// One line for an entry: its key and what it says.
std::string describe_entry(const StoreEntry& entry);

// How far epochs and ballots are raised above all that the old group can have used.
constexpr std::uint64_t kRestoreFencingIncrement = 1 << 20;

// The state of a node of one group as the first state of a new group that has just one member: a node with a
// new id, reached at the given addresses. Epochs of shards and ballots of registers are raised by
// kRestoreFencingIncrement; all former members are noted as removed, so that their processes, where any still
// run, can only join anew and without their state. Values accepted by the node count as chosen. Errors:
// InvalidInput where no address is given and the old record doesn't hold the node's own, StoreCorruption
// where an entry can't be read.
leaf::result<std::vector<StoreEntry>> make_restored_state(const std::vector<StoreEntry>& entries,
                                                          std::uint64_t new_id, const std::string& address,
                                                          const std::string& http_address);

}  // namespace winchhall::cluster
