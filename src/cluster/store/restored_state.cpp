#include "cluster/store/restored_state.hpp"

#include "cluster/store/state_entry.hpp"
#include "cluster/store/state_summary.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

namespace {

void advance_ballot(wire::Ballot& ballot, std::uint64_t proposer) {
  ballot.set_counter(ballot.counter() + kRestoreFencingIncrement);
  ballot.set_proposer(proposer);
}

void choose_at_promised_ballot(wire::RegisterState& state) {
  *state.mutable_accepted() = state.promised();
  *state.mutable_chosen() = state.promised();
}

wire::RegisterState restored_register(const wire::RegisterState& old, std::uint64_t proposer) {
  wire::RegisterState state = old;
  advance_ballot(*state.mutable_promised(), proposer);
  const bool has_value = old.accepted().counter() != 0;
  if (has_value) choose_at_promised_ballot(state);
  return state;
}

wire::RegisterState restored_members_register(const wire::RegisterState& old,
                                              const wire::MemberRecord& members, std::uint64_t proposer) {
  wire::RegisterState state = old;
  advance_ballot(*state.mutable_promised(), proposer);
  choose_at_promised_ballot(state);
  state.set_value(members.SerializeAsString());
  return state;
}

wire::ShardState restored_shard(const wire::ShardState& old) {
  wire::ShardState state = old;
  state.set_epoch(old.epoch() + kRestoreFencingIncrement);
  state.clear_holder();
  state.clear_holder_address();
  return state;
}

wire::MemberRecord restored_members(const wire::MemberRecord& old, const wire::Member& only_member) {
  wire::MemberRecord record;
  record.set_epoch(old.epoch() + kRestoreFencingIncrement);
  record.set_largest(1);
  *record.add_members() = only_member;
  *record.mutable_removed() = old.removed();
  for (const wire::Member& member : old.members()) record.add_removed(member.id());
  return record;
}

// The node's former member entry with its new id and addresses.
leaf::result<wire::Member> restored_member(const StateSummary& summary, std::uint64_t id,
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

StoreEntry restored_identity(std::uint64_t id) {
  wire::NodeIdentity identity;
  identity.set_id(id);
  identity.set_synchronized(true);
  return make_entry(kIdentityKey, identity);
}

}  // namespace

leaf::result<std::vector<StoreEntry>> make_restored_state(const std::vector<StoreEntry>& entries,
                                                          std::uint64_t new_id, const std::string& address,
                                                          const std::string& http_address) {
  const StateSummary summary = summarize_state(entries);
  if (!summary.unreadable.empty()) {
    return leaf::new_error(StoreCorruption{"backup", "unreadable: " + summary.unreadable.front()});
  }
  BOOST_LEAF_AUTO(member, restored_member(summary, new_id, address, http_address));
  const wire::MemberRecord members = restored_members(summary.members, member);
  wire::RegisterState old_members_register;
  std::vector<StoreEntry> restored{make_entry(kMembersKey, members)};
  for (const StoreEntry& entry : entries) {
    const StateEntryKind kind = kind_of(entry.key);
    if (entry.key == kMembersRegisterEntryKey) {
      old_members_register = parse_value<wire::RegisterState>(entry).value_or(wire::RegisterState());
    } else if (kind == StateEntryKind::register_state) {
      const auto state = parse_value<wire::RegisterState>(entry).value_or(wire::RegisterState());
      restored.push_back(make_entry(entry.key, restored_register(state, new_id)));
    } else if (kind == StateEntryKind::shard_state) {
      const auto state = parse_value<wire::ShardState>(entry).value_or(wire::ShardState());
      restored.push_back(make_entry(entry.key, restored_shard(state)));
    } else if (kind == StateEntryKind::shard_record) {
      restored.push_back(entry);
    }
  }
  restored.push_back(
      make_entry(kMembersRegisterEntryKey, restored_members_register(old_members_register, members, new_id)));
  restored.push_back(restored_identity(new_id));
  return restored;
}

}  // namespace winchhall::cluster
