// Jobs, their repeats, stages and tasks, as the leader of a service keeps them in memory.
//
// A job has one repeat, or as many as its timetable says. A repeat consists of the job's stages, a stage of
// tasks with equal demands. A task is executed by runs (attempts): a run is one start of the task on one
// leaf, and its number is given only once per task.
//
// Ownership: Job owns Repeat owns StageInstance owns Task. Pointers to a StageInstance or Task stay valid
// until the repeat's stages are dropped, which happens only once none of their runs may exist any more.
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

// Identifies a run among the runs of one task; all members of a gang run share one number.
using RunNumber = std::uint64_t;

struct Job;
struct Leaf;
struct Run;

// Progress that a task reported, opaque to the scheduler. An empty text means that there is none.
struct Checkpoint {
  std::string text;
  RunNumber run = 0;  // that reported it
};

// One unit of work of a stage.
struct Task {
  std::uint32_t index = 0;  // within its stage
  bool done = false;
  RunNumber last_run = 0;                    // highest number known to have been given
  std::vector<RunNumber> failed_runs;        // that ended END_FAILED, each once
  std::vector<std::string> failed_leaves;    // IDs of leaves where it failed, was refused or stalled
  Checkpoint checkpoint;                     // the newest known
  std::vector<Run*> runs;                    // of this task that may exist on a leaf; see RunTable
  std::uint32_t consecutive_short_runs = 0;  // of a long-running task, for its restart backoff
  TimePoint earliest_start;                  // backoff: the task isn't enqueued before
  TimePoint enqueued_at;
};

// Whether a stage's job can still meet its latency objective. The order counts: lower is placed first.
enum class DeadlineStatus : std::uint8_t {
  on_time,    // the objective can still be met
  late,       // the objective will be missed
  worthless,  // too late to be of any value
};

// Position of a stage in the queue; the lowest key is placed first. Within one priority, stages that can
// still meet their deadline go in the order of their latest start (least slack first). Stages that can't go
// after them, or else all would be late under overload.
struct QueueKey {
  std::uint32_t priority = 0;  // 0 is the most urgent
  DeadlineStatus deadline_status = DeadlineStatus::on_time;
  TimePoint latest_start;      // to meet the objective if the estimates hold
  double estimate_ms = 0;      // of one task; larger goes first
  std::uint64_t sequence = 0;  // order of creation; makes the key unique

  bool operator<(const QueueKey& other) const;
};

// One stage of one repeat of a job.
struct StageInstance {
  Job* job = nullptr;
  std::uint32_t repeat = 0;
  std::uint32_t number = 0;           // index within the job's stages
  const wire::Stage* spec = nullptr;  // owned by the job
  Resources demand;                   // of each task
  double estimate_ms = 1;             // expected duration of one task on a leaf near its data
  bool ready = false;                 // all stages that it depends on are done
  std::uint32_t done_count = 0;
  std::vector<Task> tasks;
  std::set<std::uint32_t> waiting;                              // indices of tasks that may be placed
  std::unordered_map<const Leaf*, std::uint32_t> runs_by_leaf;  // number of runs that may exist there
  bool queued = false;                                          // is in the StageQueue, under `key`
  QueueKey key;
  TimePoint late_after;       // if it isn't started by then, the job misses its objective
  TimePoint worthless_after;  // the job is of no value afterwards
  TimePoint waiting_since;    // when it was last enqueued
  TimePoint preempted_at;     // when runs were last stopped to free its reservation

  bool done() const { return done_count == tasks.size(); }
  TaskName task_name(std::uint32_t index) const;
};

// One execution of all stages of a job.
struct Repeat {
  std::vector<StageInstance> stages;  // dropped once the repeat is done and none of its runs may exist
  std::uint32_t stages_done = 0;
  std::uint32_t live_runs = 0;  // that may exist on a leaf
  bool done = false;
};

// A submitted job, kept until its retention time after its end is over.
struct Job {
  std::string id;
  wire::JobSpec spec;
  wire::QueueTerms terms;
  std::int64_t accepted_wall_ms = 0;  // milliseconds since 1970
  TimePoint accepted_at;
  std::uint64_t sequence = 0;  // order of submission at this leader
  wire::JobState state = wire::JOB_QUEUED;
  std::int64_t ended_wall_ms = 0;    // milliseconds since 1970; 0 while it is queued or running
  bool durable = false;              // its record is durable: tasks may start
  bool final_state_durable = false;  // its final state is durable: clients may see it
  bool restored = false;             // from an earlier leader's records: may run on leaves not heard yet
  ChangeBatchNumber last_change_batch = 0;  // holds the newest change of its records
  std::map<std::uint32_t, Repeat> repeats;  // started, by number
  std::uint32_t next_repeat = 0;            // the lowest number not yet started by the timetable
  std::uint32_t repeats_done = 0;
  std::uint32_t live_runs = 0;         // that may exist on a leaf
  std::uint64_t unfinished_tasks = 0;  // all tasks of started repeats that are not done
  double critical_path_ms = 0;         // longest chain of dependent stages, by estimate

  bool is_final() const {
    return state == wire::JOB_COMPLETED || state == wire::JOB_FAILED || state == wire::JOB_CANCELED;
  }
  std::uint32_t repeat_count() const { return spec.repeat_count() > 0 ? spec.repeat_count() : 1; }
  // Failed runs of one task or gang that end the job.
  std::uint32_t max_retries() const { return terms.max_retries() > 0 ? terms.max_retries() : 1; }
};

// Runs of a task that ended END_FAILED. For a gang: of all its members, a run that several members report
// counted once.
std::uint32_t count_failed_runs(const StageInstance& stage, const Task& task);

Resources resource_demand(const wire::Stage& stage);

// The checkpoint that the next run of this task starts from: its own, or of a gang the newest of any member.
// Lives as long as the task.
const Checkpoint& newest_checkpoint(const StageInstance& stage, const Task& task);

}  // namespace winchhall::cluster::scheduling
