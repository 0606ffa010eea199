#include "cluster/consensus/member_record.hpp"

#include <algorithm>

namespace winchhall::cluster {

namespace {

// What a record's successor has to assume of members that lack chosen values.
std::size_t next_stale_bound(const wire::MemberRecord& record) {
  const auto members = static_cast<std::size_t>(record.members_size());
  return std::max<std::size_t>(record.stale_bound(), members - majority(record));
}

wire::MemberRecord successor(const wire::MemberRecord& record) {
  wire::MemberRecord next = record;
  next.set_epoch(record.epoch() + 1);
  next.set_stale_bound(static_cast<std::uint32_t>(next_stale_bound(record)));
  return next;
}

}  // namespace

std::size_t majority(const wire::MemberRecord& record) {
  return majority_of(static_cast<std::size_t>(record.members_size()));
}

const wire::Member* find_member(const wire::MemberRecord& record, std::uint64_t id) {
  for (const wire::Member& member : record.members()) {
    if (member.id() == id) return &member;
  }
  return nullptr;
}

bool was_removed(const wire::MemberRecord& record, std::uint64_t id) {
  return std::find(record.removed().begin(), record.removed().end(), id) != record.removed().end();
}

std::size_t state_transfer_sources_needed(const wire::MemberRecord& record) {
  return record.stale_bound() + 1;
}

bool may_remove_member(const wire::MemberRecord& record) {
  const auto members = static_cast<std::size_t>(record.members_size());
  return members > 1 && majority_of(members - 1) > next_stale_bound(record);
}

wire::MemberRecord with_member(const wire::MemberRecord& record, const wire::Member& newcomer) {
  wire::MemberRecord next = successor(record);
  *next.add_members() = newcomer;
  next.set_largest(std::max(record.largest(), static_cast<std::uint32_t>(next.members_size())));
  return next;
}

wire::MemberRecord without_member(const wire::MemberRecord& record, std::uint64_t id) {
  wire::MemberRecord next = successor(record);
  next.clear_members();
  for (const wire::Member& member : record.members()) {
    if (member.id() != id) *next.add_members() = member;
  }
  next.add_removed(id);
  return next;
}

wire::MemberRecord shrunk_without_member(const wire::MemberRecord& record, std::uint64_t id) {
  wire::MemberRecord next = without_member(record, id);
  next.set_largest(static_cast<std::uint32_t>(next.members_size()));
  return next;
}

bool has_excess_member(const wire::MemberRecord& record) {
  constexpr int kLeastSize = 4;  // two members keep both copies
  const auto members = static_cast<std::uint32_t>(record.members_size());
  return record.members_size() >= kLeastSize && members % 2 == 0 && members >= record.largest() &&
         may_remove_member(record);
}

bool is_founder(const NodeSettings& settings) {
  const auto& seeds = settings.seeds;
  return settings.bootstrap && std::find(seeds.begin(), seeds.end(), settings.control) != seeds.end();
}

std::uint64_t founder_id(const Address& control_address) { return stable_hash("founder " + control_address); }

wire::MemberRecord founding_record(const NodeSettings& settings) {
  std::vector<Address> seeds = settings.seeds;
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  wire::MemberRecord record;
  record.set_epoch(1);
  record.set_largest(static_cast<std::uint32_t>(seeds.size()));
  for (const Address& seed : seeds) {
    wire::Member* founder = record.add_members();
    founder->set_id(founder_id(seed));
    founder->set_address(settings.internal_address_of(seed));
    founder->set_http_address(seed);
  }
  return record;
}

std::uint64_t stable_hash(const std::string& text) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kPrime;
  }
  // FNV alone spreads short texts badly over the upper bits.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash == 0 ? 1 : hash;
}

}  // namespace winchhall::cluster
