#include "cluster/store/state_summary.hpp"

#include <algorithm>
#include <optional>
#include <string_view>

namespace winchhall::cluster {

namespace {

// Keys as consensus/ writes them; tests/cluster/store/tools_test.cpp holds the two together.
const std::string kIdentityKey = "identity";
const std::string kMembersKey = "members";
const std::string kRegisterPrefix = "register/";
const std::string kShardPrefix = "shard/";
const std::string kRecordPrefix = "record/";
const std::string kMembersRegister = kRegisterPrefix + "members";

enum class EntryKind { identity, members, register_state, shard_state, shard_record, unknown };

EntryKind kind_of(const std::string& key) {
  if (key == kIdentityKey) return EntryKind::identity;
  if (key == kMembersKey) return EntryKind::members;
  if (key.starts_with(kRegisterPrefix)) return EntryKind::register_state;
  if (key.starts_with(kShardPrefix)) return EntryKind::shard_state;
  if (key.starts_with(kRecordPrefix)) return EntryKind::shard_record;
  return EntryKind::unknown;
}

template <typename Message>
std::optional<Message> parse_value(const StoreEntry& entry) {
  Message message;
  if (!message.ParseFromString(entry.value)) return std::nullopt;
  return message;
}

std::string ballot_text(const wire::Ballot& ballot) {
  return std::to_string(ballot.counter()) + "." + std::to_string(ballot.proposer());
}

std::string to_text(const wire::NodeIdentity& identity) {
  return "id=" + std::to_string(identity.id()) + " synchronized=" + (identity.synchronized() ? "yes" : "no");
}

std::string to_text(const wire::MemberRecord& record) {
  std::string text = "epoch=" + std::to_string(record.epoch()) + " members=";
  for (const wire::Member& member : record.members()) {
    text += std::to_string(member.id()) + "@" + member.address() + ",";
  }
  text.pop_back();
  return text;
}

std::string to_text(const wire::RegisterState& state) {
  return "promised=" + ballot_text(state.promised()) + " accepted=" + ballot_text(state.accepted()) +
         " chosen=" + ballot_text(state.chosen()) + " bytes=" + std::to_string(state.value().size());
}

std::string to_text(const wire::ShardState& state) {
  return "epoch=" + std::to_string(state.epoch()) + " holder=" + std::to_string(state.holder()) +
         " base=" + std::to_string(state.base());
}

std::string to_text(const wire::ShardRecord& record) {
  return "epoch=" + std::to_string(record.epoch()) + " sequence=" + std::to_string(record.sequence()) +
         " bytes=" + std::to_string(record.value().size()) + (record.deleted() ? " deleted" : "");
}

template <typename Message>
std::optional<std::string> value_text(const StoreEntry& entry) {
  const std::optional<Message> message = parse_value<Message>(entry);
  if (!message) return std::nullopt;
  return to_text(*message);
}

// None: of unknown kind, or unreadable.
std::optional<std::string> value_text(const StoreEntry& entry) {
  switch (kind_of(entry.key)) {
    case EntryKind::identity:
      return value_text<wire::NodeIdentity>(entry);
    case EntryKind::members:
      return value_text<wire::MemberRecord>(entry);
    case EntryKind::register_state:
      return value_text<wire::RegisterState>(entry);
    case EntryKind::shard_state:
      return value_text<wire::ShardState>(entry);
    case EntryKind::shard_record:
      return value_text<wire::ShardRecord>(entry);
    case EntryKind::unknown:
      return std::nullopt;
  }
  return std::nullopt;
}

// Printable: the zero byte between a shard's name and a record's key becomes a slash, others are escaped.
std::string key_text(const std::string& key) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char character : key) {
    const auto code = static_cast<unsigned char>(character);
    if (code == 0) {
      text += '/';
    } else if (code < 0x20 || code == 0x7f) {
      text += {'\\', 'x', kDigits[code >> 4], kDigits[code & 15]};
    } else {
      text += character;
    }
  }
  return text;
}

void advance_ballot(wire::Ballot& ballot, std::uint64_t proposer) {
  ballot.set_counter(ballot.counter() + kRestoreFencingIncrement);
  ballot.set_proposer(proposer);
}

wire::RegisterState restored_register(const wire::RegisterState& old, std::uint64_t proposer) {
  wire::RegisterState state = old;
  advance_ballot(*state.mutable_promised(), proposer);
  if (old.accepted().counter() == 0) return state;
  *state.mutable_accepted() = state.promised();
  *state.mutable_chosen() = state.promised();
  return state;
}

wire::ShardState restored_shard(const wire::ShardState& old) {
  wire::ShardState state = old;
  state.set_epoch(old.epoch() + kRestoreFencingIncrement);
  state.clear_holder();
  state.clear_holder_address();
  return state;
}

wire::MemberRecord restored_members(const wire::MemberRecord& old, const wire::Member& only) {
  wire::MemberRecord record;
  record.set_epoch(old.epoch() + kRestoreFencingIncrement);
  record.set_largest(1);
  *record.add_members() = only;
  *record.mutable_removed() = old.removed();
  for (const wire::Member& member : old.members()) record.add_removed(member.id());
  return record;
}

leaf::result<wire::Member> only_member(const StateSummary& summary, std::uint64_t id,
                                       const std::string& address, const std::string& http_address) {
  wire::Member member;
  for (const wire::Member& old : summary.members.members()) {
    if (old.id() == summary.identity.id()) member = old;
  }
  member.set_id(id);
  if (!address.empty()) member.set_address(address);
  if (!http_address.empty()) member.set_http_address(http_address);
  if (!member.address().empty() && !member.http_address().empty()) return member;
  return leaf::new_error(InvalidInput{"store restore", "--address, --http", "",
                                      "addresses, as the backup holds none of its node"});
}

template <typename Message>
StoreEntry make_entry(const std::string& key, const Message& message) {
  return {key, message.SerializeAsString()};
}

}  // namespace

StateSummary summarize_state(const std::vector<StoreEntry>& entries) {
  StateSummary summary;
  for (const StoreEntry& entry : entries) {
    const EntryKind kind = kind_of(entry.key);
    ++summary.entries;
    summary.bytes += entry.key.size() + entry.value.size();
    summary.registers += kind == EntryKind::register_state ? 1 : 0;
    summary.shards += kind == EntryKind::shard_state ? 1 : 0;
    summary.records += kind == EntryKind::shard_record ? 1 : 0;
    if (!value_text(entry)) summary.unreadable.push_back(key_text(entry.key));
    if (kind == EntryKind::identity) summary.identity.ParseFromString(entry.value);
    if (kind == EntryKind::members) summary.members.ParseFromString(entry.value);
  }
  return summary;
}

std::string describe_entry(const StoreEntry& entry) {
  const std::optional<std::string> value = value_text(entry);
  return key_text(entry.key) + " " +
         value.value_or("unreadable, bytes=" + std::to_string(entry.value.size()));
}

leaf::result<std::vector<StoreEntry>> make_restored_state(const std::vector<StoreEntry>& entries,
                                                          std::uint64_t new_id, const std::string& address,
                                                          const std::string& http_address) {
  const StateSummary summary = summarize_state(entries);
  if (!summary.unreadable.empty()) {
    return leaf::new_error(StoreCorruption{"backup", "unreadable: " + summary.unreadable.front()});
  }
  BOOST_LEAF_AUTO(only, only_member(summary, new_id, address, http_address));
  const wire::MemberRecord members = restored_members(summary.members, only);
  wire::NodeIdentity identity;
  identity.set_id(new_id);
  identity.set_synchronized(true);
  std::vector<StoreEntry> fenced{make_entry(kMembersKey, members)};
  wire::RegisterState members_register;
  for (const StoreEntry& entry : entries) {
    const EntryKind kind = kind_of(entry.key);
    if (entry.key == kMembersRegister) {
      members_register = parse_value<wire::RegisterState>(entry).value_or(wire::RegisterState());
    } else if (kind == EntryKind::register_state) {
      const auto state = parse_value<wire::RegisterState>(entry).value_or(wire::RegisterState());
      fenced.push_back(make_entry(entry.key, restored_register(state, new_id)));
    } else if (kind == EntryKind::shard_state) {
      const auto state = parse_value<wire::ShardState>(entry).value_or(wire::ShardState());
      fenced.push_back(make_entry(entry.key, restored_shard(state)));
    } else if (kind == EntryKind::shard_record) {
      fenced.push_back(entry);
    }
  }
  advance_ballot(*members_register.mutable_promised(), new_id);
  *members_register.mutable_accepted() = members_register.promised();
  *members_register.mutable_chosen() = members_register.promised();
  members_register.set_value(members.SerializeAsString());
  fenced.push_back(make_entry(kMembersRegister, members_register));
  // Last: without it, a store whose making was cut off belongs to no member.
  fenced.push_back(make_entry(kIdentityKey, identity));
  return fenced;
}

}  // namespace winchhall::cluster
