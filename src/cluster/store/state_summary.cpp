#include "cluster/store/state_summary.hpp"

#include <optional>
#include <string_view>

#include "cluster/store/state_entry.hpp"

namespace winchhall::cluster {

namespace {

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

// None: the entry is of unknown kind, or its value is invalid.
std::optional<std::string> value_text(const StoreEntry& entry) {
  switch (kind_of(entry.key)) {
    case StateEntryKind::identity:
      return value_text<wire::NodeIdentity>(entry);
    case StateEntryKind::members:
      return value_text<wire::MemberRecord>(entry);
    case StateEntryKind::register_state:
      return value_text<wire::RegisterState>(entry);
    case StateEntryKind::shard_state:
      return value_text<wire::ShardState>(entry);
    case StateEntryKind::shard_record:
      return value_text<wire::ShardRecord>(entry);
    case StateEntryKind::unknown:
      return std::nullopt;
  }
  return std::nullopt;
}

// The zero byte between a shard's name and a record's key becomes a slash; other control characters are
// escaped.
std::string printable_key(const std::string& key) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string text;
  for (const char character : key) {
    const auto code = static_cast<unsigned char>(character);
    if (code == 0) {
      text += '/';
    } else if (code < 0x20 || code == 0x7f) {
      text += {'\\', 'x', kHexDigits[code >> 4], kHexDigits[code & 15]};
    } else {
      text += character;
    }
  }
  return text;
}

}  // namespace

StateSummary summarize_state(const std::vector<StoreEntry>& entries) {
  StateSummary summary;
  for (const StoreEntry& entry : entries) {
    const StateEntryKind kind = kind_of(entry.key);
    ++summary.entries;
    summary.bytes += entry.key.size() + entry.value.size();
    summary.registers += kind == StateEntryKind::register_state ? 1 : 0;
    summary.shards += kind == StateEntryKind::shard_state ? 1 : 0;
    summary.records += kind == StateEntryKind::shard_record ? 1 : 0;
    if (!value_text(entry)) summary.unreadable.push_back(printable_key(entry.key));
    if (kind == StateEntryKind::identity) summary.identity.ParseFromString(entry.value);
    if (kind == StateEntryKind::members) summary.members.ParseFromString(entry.value);
  }
  return summary;
}

std::string describe_entry(const StoreEntry& entry) {
  const std::optional<std::string> value = value_text(entry);
  return printable_key(entry.key) + " " +
         value.value_or("unreadable, bytes=" + std::to_string(entry.value.size()));
}

}  // namespace winchhall::cluster
