// The state that the components of one scheduler share.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/scheduler/job_table.hpp"
#include "cluster/scheduler/leaf_registry.hpp"
#include "cluster/scheduler/record_write_buffer.hpp"
#include "cluster/scheduler/run_counts_by_priority.hpp"
#include "cluster/scheduler/run_loss_history.hpp"
#include "cluster/scheduler/scheduler_views.hpp"
#include "cluster/scheduler/stage_queue.hpp"
#include "cluster/scheduler/wall_clock.hpp"

namespace winchhall::cluster::scheduling {

// A job that waits until a batch of changes is durable, either to start its tasks or to show its final state.
struct JobAwaitingDurability {
  ChangeBatchNumber number = 0;
  std::string job;  // ID
};

// Owned by the scheduler; its components keep references. Where only one component changes a field, the
// field's comment names it.
struct SchedulerState {
  SchedulerState(SchedulerOptions scheduler_options, std::uint64_t lease_epoch, std::uint64_t seed)
      : options(std::move(scheduler_options)), epoch(lease_epoch), random(seed) {}

  const SchedulerOptions options;
  const std::uint64_t epoch;
  std::mt19937_64 random;  // for the choice among leaves of equal cost
  TimePoint now;           // time of the current call; never decreases
  WallClock wall_clock;
  JobTable jobs;
  LeafRegistry leaves;
  RunCountsByPriority run_counts;  // runs on all leaves; changed by RunTable
  RecordWriteBuffer records;
  Revision last_revision = 0;                  // newest revision given to any leaf or session
  RunLossHistory losses;                       // changed by RunEndHandler
  std::vector<UnexpectedRun> unexpected_runs;  // not yet taken by the owner
  SchedulerCounters counters;
  StageQueue queue;
  // IDs of leaves that may have runs ordered by an earlier leader: no report of the leaf was reconciled yet,
  // and it isn't certain that nothing runs there, since neither its lease has expired nor its incarnation
  // ended. Restored jobs start no tasks until the set is empty.
  std::set<std::string> unsynchronized_leaves;
  std::deque<JobAwaitingDurability> awaiting_durability;  // by batch number; changed by JobLifecycle
  std::multimap<TimePoint, TaskName> delayed_tasks;       // by the time at which they may be enqueued
  std::multimap<TimePoint, std::string> repeats_due;   // job IDs, by the time of their next timetable check
  std::multimap<TimePoint, std::string> removals_due;  // IDs of ended jobs, by the end of their retention
  // Done repeats whose stages are still kept; only the job and repeat of each name are used. Changed by
  // JobLifecycle.
  std::deque<TaskName> done_repeats;
  bool replan_needed = true;     // a task that could not be placed before might be placed now
  bool ejection_enabled = true;  // changed by RunMonitor
  TimePoint last_start_at;       // when a run was last ordered; changed by RunTable

  Millis lease_duration() const { return std::min(options.lease_duration, options.bounds.hold_max); }
  // Upper bound of the time until a lease that is granted now expires on the leaf, even if its clock is slow.
  Millis max_lease_duration() const {
    constexpr double kMaxClockSlowdown = 1.02;  // real time per time measured by a slow leaf
    constexpr Millis kMargin{200};
    return Millis(
               static_cast<std::int64_t>(static_cast<double>(lease_duration().count()) * kMaxClockSlowdown)) +
           options.max_report_round_trip + kMargin;
  }
  // True if so many runs failed on the leaf that nothing should be started there.
  bool is_ejected(const Leaf& leaf) const { return ejection_enabled && leaf.health.is_ejected(now); }
  // Lowest run number that this leader may assign. Each epoch has its own range, so that no earlier leader
  // can have assigned it.
  RunNumber first_run_number() const {
    constexpr RunNumber kRunNumbersPerEpoch = 4096;
    return (epoch > 0 ? epoch - 1 : 0) * kRunNumbersPerEpoch + 1;
  }
};

}  // namespace winchhall::cluster::scheduling
