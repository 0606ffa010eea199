// What this node heard from the other members: who answers, who votes, which leases they know of.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

class PeerTable {
 public:
  explicit PeerTable(Runtime& runtime) : runtime_(runtime) {}

  // Forgets members that left and begins to watch new ones.
  void watch(const wire::MemberRecord& record);
  // A member answered a ping that was sent at `sent_at`.
  void answered(std::uint64_t member, TimePoint sent_at, bool voting);
  void failed(std::uint64_t member);
  void record_reported_leases(const wire::MemberPing& ping);
  void set_reads_snapshots(std::uint64_t member);

  bool contacted_within(std::uint64_t member, Millis span) const;
  bool votes(std::uint64_t member) const;
  // The member has said that it reads configuration records with snapshots.
  bool reads_snapshots(std::uint64_t member) const;
  // True if a member did not answer for the whole span, nor any of many pings in a row.
  bool unreachable_for(std::uint64_t member, Millis span) const;
  TimePoint last_contact_at(std::uint64_t member) const;

  // The newest lease on a shard that others reported and that is not over yet.
  std::optional<wire::ShardLeader> leader(const std::string& shard) const;
  std::vector<wire::ShardLeader> leaders() const;

 private:
  struct Peer {
    TimePoint
        last_contact_at{};  // sending of the newest answered ping; before that: when it began to be watched
    bool ever_contacted = false;
    bool voting = false;
    bool reads_snapshots = false;
    unsigned failures = 0;
  };
  struct ReportedLease {
    wire::ShardLeader leader;
    TimePoint expiry{};
  };

  std::optional<wire::ShardLeader> describe(const ReportedLease& lease) const;

  Runtime& runtime_;
  std::map<std::uint64_t, Peer> peers_;
  std::map<std::string, ReportedLease> leases_;
};

// The member that has been silent the longest, for `span` at least; null: none.
const wire::Member* find_unreachable_member(const wire::MemberRecord& record, const PeerTable& peers,
                                            Millis span);

}  // namespace winchhall::cluster
