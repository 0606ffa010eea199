// The kinds of entries in a control node's store, and the messages that are their values.
#pragma once

#include <optional>
#include <string>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// Must match the keys that cluster/consensus writes. tests/cluster/store/tools_test.cpp checks this.
inline const std::string kIdentityKey = "identity";
inline const std::string kMembersKey = "members";
inline const std::string kRegisterPrefix = "register/";
inline const std::string kShardPrefix = "shard/";
inline const std::string kRecordPrefix = "record/";
inline const std::string kMembersRegisterEntryKey = kRegisterPrefix + "members";

enum class StateEntryKind { identity, members, register_state, shard_state, shard_record, unknown };

StateEntryKind kind_of(const std::string& key);

// None: the value is not an encoded `Message`.
template <typename Message>
std::optional<Message> parse_value(const StoreEntry& entry) {
  Message message;
  if (!message.ParseFromString(entry.value)) return std::nullopt;
  return message;
}

}  // namespace winchhall::cluster
