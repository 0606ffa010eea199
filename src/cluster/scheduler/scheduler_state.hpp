// State shared by the components of one scheduler.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "cluster/scheduler/job_table.hpp"
#include "cluster/scheduler/leaf_registry.hpp"
#include "cluster/scheduler/record_write_buffer.hpp"
#include "cluster/scheduler/run_counts_by_priority.hpp"
#include "cluster/scheduler/scheduler_views.hpp"
#include "cluster/scheduler/stage_queue.hpp"
#include "cluster/scheduler/wall_clock.hpp"

namespace winchhall::cluster::scheduling {

// A job that waits until a batch of changes is durable: to start, or to show its final state.
struct JobAwaitingDurability {
  ChangeBatchNumber number = 0;
  std::string job;
};

// Owned by the scheduler; its components keep references. Each field says which component changes it, where
// it isn't all of them.
struct SchedulerState {
  SchedulerState(SchedulerOptions scheduler_options, std::uint64_t lease_epoch, std::uint64_t seed)
      : options(std::move(scheduler_options)), epoch(lease_epoch), random(seed) {}

  const SchedulerOptions options;
  const std::uint64_t epoch;
  std::mt19937_64 random;  // breaks ties among leaves
  TimePoint now;           // of the current call; never falls
  WallClock wall;
  JobTable jobs;
  LeafRegistry leaves;
  RunCountsByPriority run_counts;  // of all leaves; RunTable
  RecordWriteBuffer records;
  SchedulerCounters counters;
  StageQueue queue;
  // IDs of leaves that may run what an earlier leader ordered: no report of them was reconciled yet, nor is
  // it certain that nothing runs there. While there is one, restored jobs start nothing.
  std::set<std::string> unsynchronized_leaves;
  std::deque<JobAwaitingDurability> awaiting_durability;  // in the order of batches; JobLifecycle
  std::multimap<TimePoint, TaskName> delayed_tasks;       // by the time when they may be enqueued
  std::multimap<TimePoint, std::string> repeats_due;      // job IDs, by the next look at their timetable
  std::multimap<TimePoint, std::string> removals_due;     // IDs of ended jobs, by the end of their retention
  std::deque<TaskName> done_repeats;  // whose stages are still kept (only job and repeat count); JobLifecycle
  bool replan_needed = true;          // something may be placed now that could not be before
  bool ejection_enabled = true;       // RunMonitor
  TimePoint last_start_at;            // when a run was last ordered; RunTable

  Millis lease_duration() const { return std::min(options.lease_duration, options.bounds.hold_max); }
  // Longest time for which a leaf may rely on a lease that is granted now, whatever the drift of its clock.
  Millis max_lease_duration() const {
    constexpr double kMaxClockDrift = 1.02;  // of a leaf's clock that runs slow
    constexpr Millis kMargin{200};
    return Millis(static_cast<std::int64_t>(static_cast<double>(lease_duration().count()) * kMaxClockDrift)) +
           options.max_report_round_trip + kMargin;
  }
  // True if nothing should be started on the leaf, judged by the runs that failed there.
  bool is_ejected(const Leaf& leaf) const { return ejection_enabled && leaf.health.is_ejected(now); }
  // Lowest run number that this leader may give. Earlier leaders can't have given it: each epoch has its own
  // range.
  RunNumber first_run_number() const {
    constexpr RunNumber kRunNumbersPerEpoch = 4096;
    return (epoch > 0 ? epoch - 1 : 0) * kRunNumbersPerEpoch + 1;
  }
};

}  // namespace winchhall::cluster::scheduling
