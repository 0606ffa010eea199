// Who belongs to the control group: the chain of member records and why quorums of different records are
// safe.
//
// The record with epoch k+1 is a compare-and-swap of the register "members" on top of record k and differs
// from it by one member. Every request of a proposer or a lease holder carries the epoch of its record. An
// acceptor answers only requests of exactly the epoch that it knows (durably), knows ever higher epochs, and
// votes only if it belongs to its record and is synchronized. A quorum under k is a majority of record k's
// members, all voting at epoch k.
//
// Claim. Let something (an accepted value, a promise, a granted lease, a shard's write) be acknowledged by a
// quorum under epoch j, however late by the clock. Then every quorum under any k >= j contains an acceptor
// that held it when it first knew an epoch >= k, or that copied it before it began to vote. So a proposer
// under k sees it, and an acceptor that promised it to the proposer of j refuses what goes against it, as if
// there were one record only.
//
// Argument. Call a member of k stale if it votes before it knows an epoch >= k, and then does not hold the
// thing.
//   Base, k = j+1: who acknowledged did so at epoch j, before it knew more. Stale members of k are members of
//   j outside the acknowledging majority: at most n(j) - majority(n(j)). Step: a record that adds a member
//   adds no stale one, as the newcomer does not vote yet; one that removes a member only takes members away.
//   So the number of stale members under k is at most
//       stale_bound(k) = max(stale_bound(k-1), n(k-1) - majority(n(k-1)))
//   which the record carries. A removal is allowed only where majority(n(k)) > stale_bound(k), and an
//   addition keeps that true, so a quorum under k holds a member that isn't stale. Newcomers: a member that
//   was added under some record copies the whole state (promises included) from stale_bound + 1 other voting
//   members at its own epoch before it votes. One of these is not stale, and it answers from epoch k on, when
//   it already refuses what is older. So the newcomer, too, holds the thing when it begins to vote. An id
//   that was removed is never admitted again, so that a member can't skip the records in between and vote
//   with what it held before; a machine that lost its disk comes under a new id.
//   A record is adopted only when it is known to be chosen, and a change is computed only from the record
//   under whose epoch it is proposed: one change at a time, and a majority at that epoch took part in it.
// Leases are kept in memory: an acceptor that starts, or that begins to vote, treats the newest promise of
// each shard as a lease granted at that moment, which is not earlier than the copied or forgotten grant.
#pragma once

#include <cstdint>

#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

inline std::size_t majority_of(std::size_t members) { return members / 2 + 1; }
std::size_t majority(const wire::MemberRecord& record);

// Null: no such member.
const wire::Member* find_member(const wire::MemberRecord& record, std::uint64_t id);
bool was_removed(const wire::MemberRecord& record, std::uint64_t id);

// Copies of the state that a newcomer needs before it votes.
std::size_t state_transfer_sources_needed(const wire::MemberRecord& record);
// True if the group may go on without one of its members (see above).
bool may_remove_member(const wire::MemberRecord& record);

// The records that follow.
wire::MemberRecord with_member(const wire::MemberRecord& record, const wire::Member& newcomer);
wire::MemberRecord without_member(const wire::MemberRecord& record, std::uint64_t id);
// The same where no successor is expected: the group is to keep the smaller size.
wire::MemberRecord shrunk_without_member(const wire::MemberRecord& record, std::uint64_t id);

// True if the group bears as many losses with one member less: its size is even, and no member is about to be
// taken in for one that left. Every member of such a group that is down for good is one loss less to be
// borne.
bool has_excess_member(const wire::MemberRecord& record);

// True if this process founds the group: the whole system starts for the first time and it is one of the
// seeds.
bool is_founder(const NodeSettings& settings);
// Id of a founder, the same wherever it is computed.
std::uint64_t founder_id(const Address& control_address);
// The first record, the same at every founder.
wire::MemberRecord founding_record(const NodeSettings& settings);

// A stable hash of a text.
std::uint64_t stable_hash(const std::string& text);

}  // namespace winchhall::cluster
