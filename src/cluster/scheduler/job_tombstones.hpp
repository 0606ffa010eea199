// Remembers jobs that the service has answered it doesn't know, so that a late submission doesn't create
// them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// An answer "not known" on which somebody acts is a promise not to accept that job later: a client that
// cancels an unknown job is told that it doesn't exist, and an agent that asks the former service of a queue
// hands the job in at the present one. A submission may still arrive after that answer, however old it is,
// since a process that relays it may have been frozen. So the answer leaves a tombstone, which rejects the
// submissions that were routed by an earlier configuration, as tombstones of a store reject earlier writes.
//
// Invariants:
// - the version of a tombstone never decreases while it exists;
// - a tombstone is durable before the answer that it backs is sent, and later leaders restore it;
// - it exists for at least `kRetention` from the newest answer.
//
// One small record for each such answer. Owned by the scheduler; not thread-safe.
class JobTombstones {
 public:
  // Rejects the submissions of all configurations.
  static constexpr std::uint64_t kAllVersions = std::numeric_limits<std::uint64_t>::max();
  // As long as agents ask the former services of a queue; longer than any process is frozen.
  static constexpr Millis kRetention{60000};
  static constexpr std::size_t kMaxTombstones = 100000;

  explicit JobTombstones(SchedulerState& state) : state_(state) {}

  // Adds the tombstone of a record of an earlier leader, for the full retention time.
  void restore(const wire::JobTombstoneRecord& record);
  // Adds a tombstone of an unknown job, or raises its version: submissions that were routed by an earlier
  // configuration than `version` are rejected. Returns the batch after which that is durable, 0 if it is
  // already; none if there are too many tombstones.
  std::optional<ChangeBatchNumber> add(const std::string& job, std::uint64_t version);
  // True if a submission of the job that was routed by configuration `version` must not be accepted.
  bool rejects(const std::string& job, std::uint64_t version) const;
  // True if no submission of the job must be accepted.
  bool rejects_all(const std::string& job) const { return rejects(job, kAllVersions - 1); }
  // Removes the tombstones whose retention time has passed, and their records.
  void remove_expired();

 private:
  struct Tombstone {
    std::uint64_t version = 0;
    ChangeBatchNumber batch = 0;  // that contains its record; 0: it is of an earlier leader
    TimePoint expires_at;
  };

  void extend(const std::string& job, Tombstone& tombstone);

  SchedulerState& state_;
  std::map<std::string, Tombstone> tombstones_;     // by job ID
  std::multimap<TimePoint, std::string> expiries_;  // one for each tombstone, which may expire later by now
};

}  // namespace winchhall::cluster::scheduling
