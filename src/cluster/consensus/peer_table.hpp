// What this node knows about the other members from pings: reachability, voting status, leases.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// A member is in contact if it answered a ping that was sent at most this long ago.
constexpr Millis kContactTimeout{1000};

// Owns one entry for each member and learner of the newest record, and the newest lease that any of them
// reported for each shard. Contact times are the times at which pings were sent, by this node's steady clock,
// so that a late answer never makes a member appear reachable more recently than it was.
class PeerTable {
 public:
  // `runtime` must outlive this object.
  explicit PeerTable(Runtime& runtime) : runtime_(runtime) {}

  // Keeps entries for exactly the members and learners of this record.
  void track_members(const wire::MemberRecord& record);
  // A member answered a ping that was sent at `sent_at`. `voting`: whether the answer says that it votes.
  void on_ping_answered(std::uint64_t member, TimePoint sent_at, bool voting);
  // A ping to the member failed or was not answered in time.
  void on_ping_failed(std::uint64_t member);
  // Adopts the confirmed leases that a ping reports, if they are newer or last longer than those known.
  void record_reported_leases(const wire::MemberPing& ping);
  // The member announced that it reads configuration records with snapshots.
  void set_reads_snapshots(std::uint64_t member);
  // The member announced that it knows learners in member records.
  void set_knows_learners(std::uint64_t member);

  // True if the member answered a ping that was sent within this time.
  bool contacted_within(std::uint64_t member, Millis duration) const;
  // True if the member's newest answer says that it votes.
  bool votes(std::uint64_t member) const;
  bool reads_snapshots(std::uint64_t member) const;
  bool knows_learners(std::uint64_t member) const;
  // True if the member answered no ping for longer than this time, nor any of the last several pings.
  bool unreachable_for(std::uint64_t member, Millis duration) const;
  // When the newest answered ping was sent; before the first answer, when the member was first tracked.
  TimePoint last_contact_at(std::uint64_t member) const;

  // The newest unexpired lease on a shard that other members reported, if any.
  std::optional<wire::ShardLeader> leader(const std::string& shard) const;
  std::vector<wire::ShardLeader> leaders() const;

 private:
  struct Peer {
    TimePoint last_contact_at{};
    bool ever_contacted = false;
    bool voting = false;
    bool reads_snapshots = false;
    bool knows_learners = false;
    unsigned consecutive_failures = 0;
  };
  struct ReportedLease {
    wire::ShardLeader leader;
    TimePoint expiry{};
  };

  void track(std::uint64_t member);
  const Peer* find(std::uint64_t member) const;
  Peer* find(std::uint64_t member);
  // The leader that the lease names, with the lease's remaining time as of now; none if it has expired.
  std::optional<wire::ShardLeader> unexpired_leader(const ReportedLease& lease) const;

  Runtime& runtime_;
  std::map<std::uint64_t, Peer> peers_;          // by member id
  std::map<std::string, ReportedLease> leases_;  // by shard
};

// The member that has been unreachable for the longest time, if that is longer than `duration`; null: none.
const wire::Member* find_unreachable_member(const wire::MemberRecord& record, const PeerTable& peers,
                                            Millis duration);
// Like `find_unreachable_member`, for learners.
const wire::Member* find_unreachable_learner(const wire::MemberRecord& record, const PeerTable& peers,
                                             Millis duration);

}  // namespace winchhall::cluster
