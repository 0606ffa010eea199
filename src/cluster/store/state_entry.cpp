#include "cluster/store/state_entry.hpp"

namespace winchhall::cluster {

StateEntryKind kind_of(const std::string& key) {
  if (key == kIdentityKey) return StateEntryKind::identity;
  if (key == kMembersKey) return StateEntryKind::members;
  if (key.starts_with(kRegisterPrefix)) return StateEntryKind::register_state;
  if (key.starts_with(kShardPrefix)) return StateEntryKind::shard_state;
  if (key.starts_with(kRecordPrefix)) return StateEntryKind::shard_record;
  return StateEntryKind::unknown;
}

}  // namespace winchhall::cluster
