// Views of a scheduler for operators: copies of its state, made on request.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Number of values of wire::EndKind.
inline constexpr std::size_t kEndKindCount = wire::EndKind_MAX + 1;

// Why a leader no longer expected a run whose end was not reported.
enum class RunLossReason : std::uint8_t {
  none,               // it expected the run, or never knew of it
  missing,            // the leaf's lists lacked it
  lease_expired,      // the leaf's execution lease expired
  incarnation_ended,  // the leaf's process ended
};
inline constexpr std::size_t kRunLossReasonCount = 4;

// A run that a leaf reported and that this leader did not expect, while it had ordered another run of the
// task or did not know the job. Both may have existed at the same time.
struct UnexpectedRun {
  std::string task;  // name "ID.K.STEP.INDEX"
  std::uint64_t run = 0;
  std::string leaf;
  bool ended = false;  // the leaf listed its end, not the run itself
  bool job_known = false;
  bool job_restored = false;    // an earlier leader had accepted the job
  std::uint64_t other_run = 0;  // the run that this leader had ordered; 0: none
  std::string other_leaf;
  RunLossReason loss = RunLossReason::none;  // why the run was not expected
  std::int64_t loss_age_ms = 0;              // time since then
  std::uint64_t loss_session = 0;            // process of the worker-agent that had reported the leaf then
  std::uint64_t loss_report = 0;             // number of its report
  std::uint64_t session = 0;                 // the same for the report that lists the run
  std::uint64_t report = 0;
};

// Counts of events since this node acquired the service's lease; they never decrease.
struct SchedulerCounters {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t tasks_started = 0;        // runs ordered, including retries and speculative runs
  std::uint64_t reports = 0;              // reports from worker-agents, including duplicates
  std::uint64_t runs_adopted = 0;         // runs listed by leaves that an earlier leader had ordered
  std::uint64_t surplus_runs = 0;         // adopted runs ordered to stop in favour of a newer run of the task
  std::uint64_t leaf_leases_expired = 0;  // expired execution leases of leaves
  std::uint64_t unexpected_runs = 0;      // see UnexpectedRun
  std::array<std::uint64_t, kEndKindCount> ends = {};             // ends of runs, by wire::EndKind
  std::array<std::uint64_t, kRunLossReasonCount> lost_runs = {};  // runs given up, by RunLossReason
};

// Counters, and the present size of the scheduler's tables.
struct SchedulerStats {
  SchedulerCounters counters;
  std::uint64_t live_jobs = 0;      // jobs that are queued or running
  std::uint64_t waiting_tasks = 0;  // tasks that may be placed
  std::uint64_t runs = 0;           // runs that may exist on a leaf
  std::uint64_t leaves = 0;
  std::uint64_t unsynchronized_leaves = 0;  // leaves whose reports the restored jobs wait for
};

// One job.
struct JobView {
  std::string id;
  std::string queue;
  wire::JobState state = wire::JOB_UNKNOWN;  // as clients see it
  std::uint32_t priority = 0;                // 0 is the most urgent
  std::int64_t accepted_wall_ms = 0;         // milliseconds since 1970
  std::uint32_t repeats = 0;
  std::uint32_t repeats_done = 0;
  std::uint32_t runs = 0;  // runs that may exist on a leaf
};

// One stage of one started repeat.
struct StageView {
  std::uint32_t repeat = 0;
  std::uint32_t number = 0;
  std::uint64_t tasks = 0;
  std::uint64_t done = 0;      // tasks that are done
  std::uint64_t waiting = 0;   // tasks that may be placed
  std::uint64_t failures = 0;  // failed runs of all tasks
};

// One run that may exist on a leaf.
struct RunView {
  std::string task;           // name "ID.K.STEP.INDEX", see TaskName
  std::uint64_t run = 0;      // run number
  std::string leaf;           // leaf ID
  std::uint32_t percent = 0;  // reported progress
  bool stopping = false;      // has been ordered to stop
};

// One job with its stages and runs.
struct JobDetail {
  JobView job;
  std::vector<StageView> stages;
  std::vector<RunView> runs;
};

// Amounts of resources.
struct ResourcesView {
  std::uint64_t cpu = 0;     // thousandths of a core
  std::uint64_t mem_mb = 0;  // megabytes
  std::uint64_t gpu = 0;     // devices
};

// One leaf.
struct LeafView {
  std::string id;
  std::string node;
  std::vector<std::string> labels;
  ResourcesView capacity;
  ResourcesView reserved;  // allocated to runs
  std::uint64_t runs = 0;  // runs that may exist there
  bool draining = false;
  bool reported = false;           // this leader has received a report of the leaf
  std::int64_t report_age_ms = 0;  // age of its newest report; 0 if there was none
};

// The newest jobs.
struct JobList {
  std::uint64_t total = 0;  // number of all jobs that are kept, including those not listed
  std::vector<JobView> jobs;
};

}  // namespace winchhall::cluster
