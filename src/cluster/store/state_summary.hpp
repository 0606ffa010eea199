// Descriptions of a control node's stored state for operators.
#pragma once

#include <string>
#include <vector>

#include "cluster/store/database.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Counts and main contents of a set of entries.
struct StateSummary {
  std::size_t entries = 0;
  std::size_t bytes = 0;  // of keys and values
  std::size_t registers = 0;
  std::size_t shards = 0;
  std::size_t records = 0;
  std::vector<std::string> unreadable;  // printable keys of entries of unknown kind or with an invalid value
  wire::NodeIdentity identity;          // default values if there is none
  wire::MemberRecord members;           // default values if there is none
};

StateSummary summarize_state(const std::vector<StoreEntry>& entries);

// One line with the entry's printable key and the main fields of its value.
std::string describe_entry(const StoreEntry& entry);

}  // namespace winchhall::cluster
