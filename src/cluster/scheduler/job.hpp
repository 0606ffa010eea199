// Jobs, their repeats, stages and tasks, as one scheduler keeps them in memory.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/resources.hpp"
#include "cluster/scheduler/scheduler.hpp"
#include "cluster/scheduler/task_name.hpp"

namespace winchhall::cluster::scheduling {

using RunNumber = std::uint64_t;

struct Job;
struct Leaf;
struct Run;

// Progress that a task saved, and the run that saved it; empty: none.
struct Checkpoint {
  std::string text;
  RunNumber run = 0;
};

struct Task {
  std::uint32_t index = 0;
  bool done = false;
  RunNumber last_run = 0;  // highest run known
  std::vector<RunNumber>
      failed_runs;  // runs that ended `failed`; of a gang, its runs with such an end of this task
  std::vector<std::string> failed_leaves;  // leaves where it failed
  Checkpoint saved;
  std::vector<Run*> runs;                    // that may exist on a leaf
  std::uint32_t consecutive_short_runs = 0;  // long-running tasks: runs in a row that ended early
  TimePoint earliest_start;                  // no start earlier than this
  TimePoint enqueued_at;                     // when it was last given to the queue
};

// What a stage's job can still earn.
enum class DeadlineStatus : std::uint8_t { in_time, late, none };

// Place of a stage in the queue: lower goes first. Among those that can still end in time the one that has to
// start first goes first; one that can't no longer goes before them, or all would be late under overload.
struct QueueKey {
  std::uint32_t priority = 0;
  DeadlineStatus outlook = DeadlineStatus::in_time;
  TimePoint start_by;  // to end in time, if estimates hold
  double hint = 0;     // larger goes first
  std::uint64_t sequence = 0;

  bool operator<(const QueueKey& other) const;
};

// One stage of one repeat of a job.
struct StageInstance {
  Job* job = nullptr;
  std::uint32_t repeat = 0;
  std::uint32_t number = 0;
  const wire::Stage* spec = nullptr;
  Resources demand;
  double hint = 1;    // estimated ms of a task
  bool open = false;  // all stages that it depends on are done
  std::uint32_t done_count = 0;
  std::vector<Task> tasks;
  std::set<std::uint32_t> waiting;                         // tasks that may be placed
  std::unordered_map<const Leaf*, std::uint32_t> on_leaf;  // runs of this stage that may exist there
  bool queued = false;
  QueueKey key;
  TimePoint late_after;       // not started by then, the job will be late
  TimePoint worthless_after;  // the job is worth nothing afterwards
  TimePoint waiting_since;
  TimePoint preempted_at;

  bool done() const { return done_count == tasks.size(); }
  TaskName name_of(std::uint32_t index) const;
};

// One time that a job's stages are run.
struct Repeat {
  std::vector<StageInstance> stages;  // empty once done and nothing of it may exist on a leaf
  std::uint32_t stages_done = 0;
  std::uint32_t live_runs = 0;
  bool done = false;
};

struct Job {
  std::string id;
  wire::JobSpec spec;
  wire::QueueTerms terms;
  std::int64_t accepted_wall_ms = 0;
  TimePoint accepted_at;
  std::uint64_t sequence = 0;
  wire::JobState state = wire::JOB_QUEUED;
  std::int64_t ended_wall_ms = 0;
  bool durable = false;   // its record is: it may start
  bool shown = false;     // its final state is durable
  bool restored = false;  // comes from an earlier leader: may run somewhere unknown
  ChangeBatchNumber last_change = 0;
  std::map<std::uint32_t, Repeat> repeats;  // opened
  std::uint32_t next_repeat = 0;
  std::uint32_t repeats_done = 0;
  std::uint32_t live_runs = 0;
  std::uint64_t open_tasks = 0;  // of opened repeats that are not done
  double critical_path_ms = 0;   // longest chain of estimated work

  bool final() const {
    return state == wire::JOB_COMPLETED || state == wire::JOB_FAILED || state == wire::JOB_CANCELED;
  }
  std::uint32_t repeat_count() const { return spec.repeat_count() > 0 ? spec.repeat_count() : 1; }
  std::uint32_t max_retries() const { return terms.max_retries() > 0 ? terms.max_retries() : 1; }
};

// Runs of a task that ended `failed`; of a gang, of all its members, each run counted once.
std::uint32_t failures_of(const StageInstance& stage, const Task& task);

Resources demand_of(const wire::Stage& stage);

// The newest checkpoint that a start of this task may bring: of a gang, any member's.
const Checkpoint& checkpoint_for(const StageInstance& stage, const Task& task);

}  // namespace winchhall::cluster::scheduling
