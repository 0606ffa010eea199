// Disaster recovery: turns the state of one member of a lost control group into the first state of a new one.
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// Fencing: added to all epochs and ballot counters. It is larger than the former group can have advanced
// since the backup, so the epochs of former members that still run are lower than those of the new group.
constexpr std::uint64_t kRestoreFencingIncrement = 1 << 20;

// Returns the entries of a group with a single member, with `new_id` and the given addresses; an empty
// address stands for the one in the backup. Values that the node had accepted become the chosen ones. Shard
// epochs and ballots are raised by kRestoreFencingIncrement and shard leases are dropped. All former members
// are recorded as removed, so that they can rejoin only as new members, without their state. The entry with
// the node's identity comes last: a store that was written incompletely has no identity. Errors: InvalidInput
// (an address is neither given nor in the backup), StoreCorruption (an unreadable entry).
leaf::result<std::vector<StoreEntry>> make_restored_state(const std::vector<StoreEntry>& entries,
                                                          std::uint64_t new_id, const std::string& address,
                                                          const std::string& http_address);

}  // namespace winchhall::cluster
