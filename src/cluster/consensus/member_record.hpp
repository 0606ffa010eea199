// Membership of the control group: the chain of member records, and why quorums of different records are
// safe.
//
// The record with epoch k+1 is a compare-and-swap of the register "members" based on record k, and differs
// from it by one member. Every request of a proposer or a lease holder carries the epoch of its record. An
// acceptor
//   - answers only requests of exactly the epoch that it knows (durably);
//   - never goes back to a lower epoch;
//   - votes only if it is a member of its record and is synchronized.
// A quorum under k is a majority of record k's members, all voting at epoch k.
//
// Claim. Let X (an accepted value, a promise, a granted lease, a shard's write) be acknowledged by a quorum
// under epoch j, at any point in time. Then every quorum under any k >= j contains an acceptor that held X
// when it first knew an epoch >= k, or that copied X before it began to vote. So a proposer under k sees X,
// and an acceptor that promised X to the proposer of j rejects what contradicts X, as if there were only one
// record.
//
// Argument. Call a member of k stale if it votes before it knows an epoch >= k, and does not hold X when it
// learns of one.
//   Base, k = j+1: members acknowledged X at epoch j, before they knew a higher one. Stale members of k are
//   members of j outside the acknowledging majority: at most n(j) - majority(n(j)).
//   Step: a record that adds a member adds no stale one, as the newcomer does not vote yet; one that removes
//   a member only takes members away. So the number of stale members under k is at most
//       stale_bound(k) = max(stale_bound(k-1), n(k-1) - majority(n(k-1)))
//   which the record carries. A removal is allowed only if majority(n(k)) > stale_bound(k), and an addition
//   keeps that true, so a quorum under k contains a member that isn't stale.
//   Newcomers: a member that was added under some record copies the whole state (promises included) from
//   stale_bound + 1 other voting members at its own epoch before it votes. One of these is not stale, and it
//   answers from epoch k on, when it already rejects requests of older epochs. So the newcomer, too, holds X
//   when it begins to vote. An id that was removed is never admitted again, so that a member can't skip the
//   records in between and vote with its earlier state; a machine that lost its disk joins under a new id.
//   Learners: a newcomer that counted as a member before it votes would reduce by one the number of losses
//   that the group tolerates. So it is listed as a learner first, which changes no quorum, and copies the
//   state as above under the record's epoch p. Only the record that follows p may promote it to a member,
//   which votes from its promotion on. It then holds what was acknowledged before p, but may lack what was
//   acknowledged under p: it is "unconfirmed", one additional stale member for exactly j = p. So
//       stale_bound(p+1) = max(stale_bound(p), n(p) - majority(n(p)) + 1) < majority(n(p) + 1)
//   As a member it copies the state once more, from confirmed members only. It then holds what was
//   acknowledged before the epoch of that copy, and a further record declares it confirmed: stale_bound falls
//   back to `confirmed_stale_bound`, which each record carries and which counts all members but the
//   unconfirmed one.
//   At most one member is unconfirmed at a time. If the group had an even size, the promotion raises the
//   bound no further than the next record does anyway, and the newcomer counts as confirmed immediately.
//   Chain: a record is adopted only when it is known to be chosen, and a change is computed only from the
//   record under whose epoch it is proposed: there is one change at a time, and a majority at that epoch took
//   part in it.
// Leases are kept in memory: an acceptor that starts, or that begins to vote, treats the newest promise of
// each shard as a lease granted at that moment, which is not earlier than the copied or lost grant.
#pragma once

#include <cstddef>
#include <cstdint>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Size of a smallest majority.
inline std::size_t majority_of(std::size_t members) { return members / 2 + 1; }
std::size_t majority(const wire::MemberRecord& record);

// Null: no such member. The pointer is valid as long as the record is unchanged.
const wire::Member* find_member(const wire::MemberRecord& record, std::uint64_t id);
// Null: no such learner. The pointer is valid as long as the record is unchanged.
const wire::Member* find_learner(const wire::MemberRecord& record, std::uint64_t id);
// The member or learner of this id; null: neither.
const wire::Member* find_member_or_learner(const wire::MemberRecord& record, std::uint64_t id);
// True if a member of this id was removed by this record or an earlier one.
bool was_removed(const wire::MemberRecord& record, std::uint64_t id);

// Number of other voting members whose state this member or learner has to copy.
std::size_t state_transfer_sources_needed(const wire::MemberRecord& record, std::uint64_t reader);
// True if this member was promoted from a learner and is not confirmed yet: it may not have copied the state
// since its promotion.
bool is_unconfirmed(const wire::MemberRecord& record, std::uint64_t id);
// True if the argument above allows the removal of this member. Removing the unconfirmed member also removes
// its share of the bound.
bool may_remove_member(const wire::MemberRecord& record, std::uint64_t id);

// The next record with one additional member, which copies the state before it votes, or with one less.
wire::MemberRecord with_member(const wire::MemberRecord& record, const wire::Member& newcomer);
wire::MemberRecord without_member(const wire::MemberRecord& record, std::uint64_t id);
// The next record with one additional learner, which replaces learners with the same address: these lost
// their disks.
wire::MemberRecord with_learner(const wire::MemberRecord& record, const wire::Member& newcomer);
wire::MemberRecord without_learner(const wire::MemberRecord& record, std::uint64_t id);
// True if the argument above allows the promotion of a learner that copied the state under this epoch.
bool may_promote(const wire::MemberRecord& record, std::uint64_t copied_epoch);
// The next record, with this learner as a voting member. Requires `may_promote`.
wire::MemberRecord with_promoted(const wire::MemberRecord& record, std::uint64_t id);
// True if the unconfirmed member may be declared confirmed after a copy under this epoch.
bool may_confirm(const wire::MemberRecord& record, std::uint64_t id, std::uint64_t copied_epoch);
// The next record, in which the unconfirmed member is confirmed. Requires `may_confirm`.
wire::MemberRecord with_confirmed(const wire::MemberRecord& record);
// Like `without_member`, but reduces the size of the group permanently, as no successor is expected.
wire::MemberRecord shrunk_without_member(const wire::MemberRecord& record, std::uint64_t id);

// True if the group tolerates as many losses without the member `id`: its size is even (and at least 4), and
// no member is about to be admitted in place of a removed one. Each permanently failed member of such a group
// reduces by one the number of losses that it tolerates.
bool has_excess_member(const wire::MemberRecord& record, std::uint64_t id);

}  // namespace winchhall::cluster
