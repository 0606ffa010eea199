// What the parts of one scheduler share.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "cluster/scheduler/job_table.hpp"
#include "cluster/scheduler/leaf_registry.hpp"
#include "cluster/scheduler/record_write_buffer.hpp"
#include "cluster/scheduler/scheduler_views.hpp"
#include "cluster/scheduler/stage_queue.hpp"
#include "cluster/scheduler/wall_clock.hpp"

namespace winchhall::cluster::scheduling {

// A job that waits until a set of changes is durable.
struct JobAwaitingDurability {
  ChangeBatchNumber number = 0;
  std::string job;
};

struct SchedulerState {
  SchedulerState(SchedulerTerms given_terms, std::uint64_t lease_epoch, std::uint64_t seed)
      : terms(std::move(given_terms)), epoch(lease_epoch), random(seed) {}

  SchedulerTerms terms;
  std::uint64_t epoch;
  std::mt19937_64 random;
  TimePoint now;
  WallClock wall;
  JobTable jobs;
  LeafRegistry leaves;
  PriorityUsage use;  // on all leaves
  RecordWriteBuffer records;
  SchedulerCounters counters;
  StageQueue queue;
  // Leaves that may run what an earlier leader ordered, and have neither listed it nor certainly lost it.
  std::set<std::string> unsynchronized_leaves;
  std::deque<JobAwaitingDurability> awaiting;
  std::multimap<TimePoint, TaskName> retries;
  std::multimap<TimePoint, std::string> repeats_due;
  std::multimap<TimePoint, std::string> removals;
  std::deque<TaskName> done_repeats;  // whose stages are still kept
  bool changed = true;                // something may be placed that could not be before
  bool ejection_enabled = true;
  TimePoint last_start;

  // Time that a hold granted now may last at most, on any clock.
  Millis max_lease_duration() const {
    constexpr double kSlowClock = 1.02;
    constexpr Millis kMargin{200};
    return Millis(static_cast<std::int64_t>(static_cast<double>(lease_duration().count()) * kSlowClock)) +
           terms.answer_slack + kMargin;
  }
  Millis lease_duration() const { return std::min(terms.lease_duration, terms.bounds.hold_max); }
  // True if the leaf fails what it starts, by its own record. When many leaves look like that, none is
  // believed to.
  bool is_ejected(const Leaf& leaf) const { return ejection_enabled && leaf.health.aside(now); }
  // Least number of a run that this leader may order.
  RunNumber first_run_number() const {
    constexpr RunNumber kRunsOfLeader = 4096;
    return (epoch > 0 ? epoch - 1 : 0) * kRunsOfLeader + 1;
  }
};

}  // namespace winchhall::cluster::scheduling
