#include "cluster/consensus/member_record.hpp"

#include <algorithm>
#include <functional>

namespace winchhall::cluster {

namespace {

// Number of members outside a smallest quorum. They may lack what was acknowledged under this record.
std::size_t outside_quorum(const wire::MemberRecord& record) {
  return static_cast<std::size_t>(record.members_size()) - majority(record);
}

// The stale bound of the record's successor (see the argument in the header).
std::size_t next_stale_bound(const wire::MemberRecord& record) {
  return std::max<std::size_t>(record.stale_bound(), outside_quorum(record));
}

// The stale bound for the confirmed members alone. A version of the program without learners copies an old
// value of this field into the next record.
std::size_t confirmed_stale_bound(const wire::MemberRecord& record) {
  const bool valid = record.unconfirmed() != 0 && record.confirmed_bound_epoch() == record.epoch();
  return valid ? record.confirmed_stale_bound() : record.stale_bound();
}

void set_confirmed_bound(wire::MemberRecord& record, std::size_t bound) {
  record.set_confirmed_stale_bound(static_cast<std::uint32_t>(bound));
  record.set_confirmed_bound_epoch(record.epoch());
}

// The stale bound of the successor without this member.
std::size_t bound_without(const wire::MemberRecord& record, std::uint64_t id) {
  const bool unconfirmed = id != 0 && record.unconfirmed() == id;
  return unconfirmed ? std::max(confirmed_stale_bound(record), outside_quorum(record))
                     : next_stale_bound(record);
}

void clear_unconfirmed(wire::MemberRecord& record) {
  record.clear_unconfirmed();
  record.clear_confirmed_stale_bound();
  record.clear_confirmed_bound_epoch();
}

wire::MemberRecord successor(const wire::MemberRecord& record) {
  wire::MemberRecord next = record;
  next.set_epoch(record.epoch() + 1);
  next.set_stale_bound(static_cast<std::uint32_t>(next_stale_bound(record)));
  if (record.unconfirmed() != 0)
    set_confirmed_bound(next, std::max(confirmed_stale_bound(record), outside_quorum(record)));
  return next;
}

const wire::Member* find_by_id(const google::protobuf::RepeatedPtrField<wire::Member>& members,
                               std::uint64_t id) {
  for (const wire::Member& member : members) {
    if (member.id() == id) return &member;
  }
  return nullptr;
}

void add_member(wire::MemberRecord& record, const wire::Member& newcomer) {
  *record.add_members() = newcomer;
  record.set_largest(std::max(record.largest(), static_cast<std::uint32_t>(record.members_size())));
}

void remove_learners_if(wire::MemberRecord& record, const std::function<bool(const wire::Member&)>& remove) {
  auto& learners = *record.mutable_learners();
  learners.erase(std::remove_if(learners.begin(), learners.end(), remove), learners.end());
}

}  // namespace

std::size_t majority(const wire::MemberRecord& record) {
  return majority_of(static_cast<std::size_t>(record.members_size()));
}

const wire::Member* find_member(const wire::MemberRecord& record, std::uint64_t id) {
  return find_by_id(record.members(), id);
}

const wire::Member* find_learner(const wire::MemberRecord& record, std::uint64_t id) {
  return find_by_id(record.learners(), id);
}

const wire::Member* find_member_or_learner(const wire::MemberRecord& record, std::uint64_t id) {
  const wire::Member* member = find_member(record, id);
  return member ? member : find_learner(record, id);
}

bool was_removed(const wire::MemberRecord& record, std::uint64_t id) {
  return std::find(record.removed().begin(), record.removed().end(), id) != record.removed().end();
}

std::size_t state_transfer_sources_needed(const wire::MemberRecord& record, std::uint64_t reader) {
  return (is_unconfirmed(record, reader) ? confirmed_stale_bound(record) : record.stale_bound()) + 1;
}

bool is_unconfirmed(const wire::MemberRecord& record, std::uint64_t id) {
  return id != 0 && record.unconfirmed() == id && find_member(record, id) != nullptr;
}

bool may_remove_member(const wire::MemberRecord& record, std::uint64_t id) {
  const auto members = static_cast<std::size_t>(record.members_size());
  return members > 1 && majority_of(members - 1) > bound_without(record, id);
}

wire::MemberRecord with_member(const wire::MemberRecord& record, const wire::Member& newcomer) {
  wire::MemberRecord next = successor(record);
  remove_learners_if(next, [&](const wire::Member& learner) { return learner.id() == newcomer.id(); });
  add_member(next, newcomer);
  return next;
}

wire::MemberRecord without_member(const wire::MemberRecord& record, std::uint64_t id) {
  wire::MemberRecord next = successor(record);
  next.clear_members();
  for (const wire::Member& member : record.members()) {
    if (member.id() != id) *next.add_members() = member;
  }
  next.add_removed(id);
  next.set_stale_bound(static_cast<std::uint32_t>(bound_without(record, id)));
  if (record.unconfirmed() == id) clear_unconfirmed(next);
  return next;
}

wire::MemberRecord with_learner(const wire::MemberRecord& record, const wire::Member& newcomer) {
  wire::MemberRecord next = successor(record);
  remove_learners_if(next,
                     [&](const wire::Member& learner) { return learner.address() == newcomer.address(); });
  *next.add_learners() = newcomer;
  return next;
}

wire::MemberRecord without_learner(const wire::MemberRecord& record, std::uint64_t id) {
  wire::MemberRecord next = successor(record);
  remove_learners_if(next, [id](const wire::Member& learner) { return learner.id() == id; });
  return next;
}

bool may_promote(const wire::MemberRecord& record, std::uint64_t copied_epoch) {
  return copied_epoch == record.epoch() && record.unconfirmed() == 0 &&
         majority_of(static_cast<std::size_t>(record.members_size()) + 1) >
             std::max<std::size_t>(record.stale_bound(), outside_quorum(record) + 1);
}

wire::MemberRecord with_promoted(const wire::MemberRecord& record, std::uint64_t id) {
  wire::Member member = *find_learner(record, id);
  member.set_copied_epoch(record.epoch());
  wire::MemberRecord next = without_learner(record, id);
  add_member(next, member);
  const std::size_t bound = std::max<std::size_t>(record.stale_bound(), outside_quorum(record) + 1);
  // In a group of even size the bound of the grown group is no smaller, so a confirmation would gain nothing.
  const bool confirmed_at_once = bound <= std::max<std::size_t>(next.stale_bound(), outside_quorum(next));
  if (!confirmed_at_once) {
    next.set_unconfirmed(id);
    set_confirmed_bound(next, next.stale_bound());
  }
  next.set_stale_bound(static_cast<std::uint32_t>(bound));
  return next;
}

bool may_confirm(const wire::MemberRecord& record, std::uint64_t id, std::uint64_t copied_epoch) {
  return is_unconfirmed(record, id) && copied_epoch > find_member(record, id)->copied_epoch() &&
         copied_epoch <= record.epoch();
}

wire::MemberRecord with_confirmed(const wire::MemberRecord& record) {
  wire::MemberRecord next = successor(record);
  next.set_stale_bound(next.confirmed_stale_bound());
  clear_unconfirmed(next);
  return next;
}

wire::MemberRecord shrunk_without_member(const wire::MemberRecord& record, std::uint64_t id) {
  wire::MemberRecord next = without_member(record, id);
  next.set_largest(static_cast<std::uint32_t>(next.members_size()));
  return next;
}

bool has_excess_member(const wire::MemberRecord& record, std::uint64_t id) {
  constexpr int kMinSize = 4;  // a group of two keeps both members, for a second replica
  const auto members = static_cast<std::uint32_t>(record.members_size());
  return record.members_size() >= kMinSize && members % 2 == 0 && members >= record.largest() &&
         may_remove_member(record, id);
}

}  // namespace winchhall::cluster
