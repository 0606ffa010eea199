// What an operator may see of a scheduler: copies of its state, made when they are asked for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Kinds of ends (wire::EndKind) that are counted apart.
inline constexpr std::size_t kEndKinds = wire::EndKind_MAX + 1;

// Events since this node took the lease; they only rise.
struct SchedulerCounters {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t tasks_started = 0;                 // starts ordered, repeated runs included
  std::uint64_t reports = 0;                       // of worker-agents, doubled ones included
  std::array<std::uint64_t, kEndKinds> ends = {};  // by wire::EndKind
};

struct SchedulerStats {
  SchedulerCounters counters;
  std::uint64_t live_jobs = 0;      // queued or running
  std::uint64_t waiting_tasks = 0;  // that may be placed now
  std::uint64_t runs = 0;           // that may exist on a leaf
  std::uint64_t leaves = 0;
};

struct JobView {
  std::string id;
  std::string queue;
  wire::JobState state = wire::JOB_UNKNOWN;  // as clients are told
  std::uint32_t priority = 0;
  std::int64_t accepted_wall_ms = 0;  // milliseconds since 1970
  std::uint32_t repeats = 0;
  std::uint32_t repeats_done = 0;
  std::uint32_t runs = 0;  // that may exist on a leaf
};

// One stage of one opened repeat.
struct StageView {
  std::uint32_t repeat = 0;
  std::uint32_t number = 0;
  std::uint64_t tasks = 0;
  std::uint64_t done = 0;
  std::uint64_t waiting = 0;
  std::uint64_t failures = 0;  // failed runs of its tasks
};

struct RunView {
  std::string task;  // "ID.K.STEP.INDEX"
  std::uint64_t run = 0;
  std::string leaf;
  std::uint32_t percent = 0;
  bool stopping = false;
};

struct JobDetail {
  JobView job;
  std::vector<StageView> stages;
  std::vector<RunView> runs;
};

// Thousandths of a core, megabytes and devices.
struct ResourcesView {
  std::uint64_t cpu = 0;
  std::uint64_t mem_mb = 0;
  std::uint64_t gpu = 0;
};

struct LeafView {
  std::string id;
  std::string node;
  std::vector<std::string> labels;
  ResourcesView capacity;
  ResourcesView reserved;
  std::uint64_t runs = 0;
  bool draining = false;
  bool reported = false;           // under this leader
  std::int64_t report_age_ms = 0;  // since its last report; 0 where there was none
};

// The newest jobs first, at most `limit`; `total` counts all that are kept.
struct JobList {
  std::uint64_t total = 0;
  std::vector<JobView> jobs;
};

}  // namespace winchhall::cluster
