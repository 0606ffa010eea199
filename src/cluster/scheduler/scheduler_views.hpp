// Operators' views of a scheduler: plain copies of its state, made on request.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Number of kinds of ends (wire::EndKind).
inline constexpr std::size_t kEndKindCount = wire::EndKind_MAX + 1;

// Counts of events since this node acquired the service's lease; they only rise.
struct SchedulerCounters {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t tasks_started = 0;        // runs ordered, retries and speculative runs included
  std::uint64_t reports = 0;              // of worker-agents, duplicates included
  std::uint64_t runs_adopted = 0;         // that leaves listed and an earlier leader had ordered
  std::uint64_t surplus_runs = 0;         // of `runs_adopted`, those beside another run of the task
  std::uint64_t leaf_leases_expired = 0;  // execution leases of leaves
  std::array<std::uint64_t, kEndKindCount> ends = {};  // of runs, by wire::EndKind
};

struct SchedulerStats {
  SchedulerCounters counters;
  std::uint64_t live_jobs = 0;      // queued or running
  std::uint64_t waiting_tasks = 0;  // that may be placed
  std::uint64_t runs = 0;           // that may exist on a leaf
  std::uint64_t leaves = 0;
  std::uint64_t unsynchronized_leaves = 0;  // whose reports the restored jobs wait for
};

struct JobView {
  std::string id;
  std::string queue;
  wire::JobState state = wire::JOB_UNKNOWN;  // as clients see it
  std::uint32_t priority = 0;                // 0 is the most urgent
  std::int64_t accepted_wall_ms = 0;         // milliseconds since 1970
  std::uint32_t repeats = 0;
  std::uint32_t repeats_done = 0;
  std::uint32_t runs = 0;  // that may exist on a leaf
};

// One stage of one started repeat.
struct StageView {
  std::uint32_t repeat = 0;
  std::uint32_t number = 0;
  std::uint64_t tasks = 0;
  std::uint64_t done = 0;      // of `tasks`
  std::uint64_t waiting = 0;   // of `tasks`, those that may be placed
  std::uint64_t failures = 0;  // failed runs of all tasks
};

struct RunView {
  std::string task;  // "ID.K.STEP.INDEX"
  std::uint64_t run = 0;
  std::string leaf;           // ID
  std::uint32_t percent = 0;  // reported progress
  bool stopping = false;
};

struct JobDetail {
  JobView job;
  std::vector<StageView> stages;
  std::vector<RunView> runs;
};

struct ResourcesView {
  std::uint64_t cpu = 0;     // thousandths of a core
  std::uint64_t mem_mb = 0;  // megabytes
  std::uint64_t gpu = 0;     // devices
};

struct LeafView {
  std::string id;
  std::string node;
  std::vector<std::string> labels;
  ResourcesView capacity;
  ResourcesView reserved;  // allocated to runs
  std::uint64_t runs = 0;  // that may exist there
  bool draining = false;
  bool reported = false;           // to this leader
  std::int64_t report_age_ms = 0;  // of its newest report; 0 if there was none
};

struct JobList {
  std::uint64_t total = 0;  // of all jobs that are kept, also those not listed
  std::vector<JobView> jobs;
};

}  // namespace winchhall::cluster
