// Fences late submissions: of jobs that the service has answered it doesn't know.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// An answer "not known" on which somebody acts is a promise not to accept that job later: a client that
// cancels an unknown job is told that it doesn't exist, and an agent that asks the former service of a queue
// hands the job in at the present one. A submission may still arrive after that answer, however old it is,
// since a process that relays it may have been frozen. Submissions carry the version of the configuration
// that they were routed by, which serves as the fencing token.
//
// Invariants:
// - the version of a job's fence never decreases while the fence exists;
// - a fence is durable before the answer that it backs is sent, and later leaders restore it;
// - it exists for at least `kRetention` from the newest answer.
//
// One small record for each such answer. Owned by the scheduler; not thread-safe.
class SubmissionFences {
 public:
  // Fences off the submissions of all configurations.
  static constexpr std::uint64_t kAllVersions = std::numeric_limits<std::uint64_t>::max();
  // As long as agents ask the former services of a queue; longer than any process is frozen.
  static constexpr Millis kRetention{60000};
  static constexpr std::size_t kMaxFences = 100000;

  explicit SubmissionFences(SchedulerState& state) : state_(state) {}

  // Adds the fence of a record of an earlier leader, for the full retention time.
  void restore(const wire::SubmissionFenceRecord& record);
  // Fences off the submissions of an unknown job that were routed by an earlier configuration than `version`.
  // Returns the batch after which that is durable, 0 if it is already; none if there are too many fences.
  std::optional<ChangeBatchNumber> raise(const std::string& job, std::uint64_t version);
  // True if a submission of the job that was routed by configuration `version` must not be accepted.
  bool rejects(const std::string& job, std::uint64_t version) const;
  // True if no submission of the job must be accepted.
  bool rejects_all(const std::string& job) const { return rejects(job, kAllVersions - 1); }
  // Removes the fences whose retention time has passed, and their records.
  void remove_expired();

  std::size_t size() const { return fences_.size(); }

 private:
  struct Fence {
    std::uint64_t version = 0;
    ChangeBatchNumber batch = 0;  // that contains its record; 0: of an earlier leader
    TimePoint expires_at;
  };

  void keep(const std::string& job, Fence& fence);

  SchedulerState& state_;
  std::map<std::string, Fence> fences_;                     // by job ID
  std::deque<std::pair<TimePoint, std::string>> expiries_;  // by time; a fence may have been extended since
};

}  // namespace winchhall::cluster::scheduling
