// Jobs, their repeats, stages and tasks, as the leader of a service keeps them in memory.
//
// A job has one repeat, or as many as its timetable states. A repeat consists of the job's stages, and a
// stage of tasks with equal demands. A task is executed by runs (attempts): a run is one start of the task on
// one leaf, and no two runs of a task have the same number.
//
// Ownership: a Job owns its Repeats, a Repeat its StageInstances, a StageInstance its Tasks. Pointers to a
// StageInstance or Task stay valid until the repeat's stages are dropped, which happens only once none of
// their runs may exist any more.
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

// State from which the next run of a task resumes, as reported by a run; opaque to the scheduler.
struct Checkpoint {
  std::string text;   // empty: there is no checkpoint
  RunNumber run = 0;  // the run that reported it
};

// One unit of work of a stage.
struct Task {
  std::uint32_t index = 0;  // within its stage
  bool done = false;
  RunNumber last_run = 0;                    // highest run number known to have been assigned
  std::vector<RunNumber> failed_runs;        // runs that ended END_FAILED, each once
  std::vector<std::string> failed_leaves;    // IDs of leaves where it failed, was refused or stalled
  Checkpoint checkpoint;                     // the newest known
  std::vector<Run*> runs;                    // runs that may exist on a leaf; see RunTable
  std::uint32_t consecutive_short_runs = 0;  // for the restart backoff of a long-running task
  TimePoint earliest_start;                  // end of the backoff: the task isn't enqueued earlier
  TimePoint enqueued_at;
};

// Whether a stage's job can still meet its latency objective. Stages with a lower value are placed first.
enum class DeadlineStatus : std::uint8_t {
  on_time,    // the objective can still be met
  late,       // the objective will be missed
  worthless,  // so late that the result has no value any more
};

// Position of a stage in the queue; the lowest key is placed first. Within one priority, stages that can
// still meet their deadline come first, sorted by latest start (least slack first). Stages that can't follow:
// placed by latest start alone, they would make all others late under overload.
struct QueueKey {
  std::uint32_t priority = 0;  // 0 is the most urgent
  DeadlineStatus deadline_status = DeadlineStatus::on_time;
  TimePoint latest_start;      // latest start that meets the objective if the estimates hold
  double estimate_ms = 0;      // expected duration of one task; the longest is placed first
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
  std::unordered_map<const Leaf*, std::uint32_t> runs_by_leaf;  // number of runs that may exist on each leaf
  bool queued = false;                                          // is in the StageQueue, under `key`
  QueueKey key;
  TimePoint late_after;       // the job misses its objective if the stage starts later
  TimePoint worthless_after;  // the job's result has no value after this time
  TimePoint waiting_since;    // when it was last enqueued
  TimePoint preempted_at;     // when runs were last stopped to make room for its reservation

  bool done() const { return done_count == tasks.size(); }
  TaskName task_name(std::uint32_t index) const;
};

// One execution of all stages of a job.
struct Repeat {
  std::vector<StageInstance> stages;  // dropped once the repeat is done and none of its runs may exist
  std::uint32_t stages_done = 0;
  std::uint32_t live_runs = 0;  // runs that may exist on a leaf
  bool done = false;
};

// A submitted job. It is kept until its retention time has passed after its end.
struct Job {
  std::string id;
  wire::JobSpec spec;
  wire::QueueTerms terms;
  std::int64_t accepted_wall_ms = 0;  // milliseconds since 1970
  TimePoint accepted_at;
  std::uint64_t sequence = 0;  // increases in the order of submission to this leader
  wire::JobState state = wire::JOB_QUEUED;
  std::int64_t ended_wall_ms = 0;    // milliseconds since 1970; 0 while it is queued or running
  bool durable = false;              // its record is durable: tasks may start
  bool final_state_durable = false;  // its final state is durable: clients may see it
  // Loaded from an earlier leader's records: it may have runs on leaves that have not reported yet.
  bool restored = false;
  ChangeBatchNumber last_change_batch = 0;  // batch with the newest change of its records
  std::map<std::uint32_t, Repeat> repeats;  // started repeats, by number
  std::uint32_t next_repeat = 0;            // lowest repeat that the timetable has not started yet
  std::uint32_t repeats_done = 0;
  std::uint32_t live_runs = 0;         // runs that may exist on a leaf
  std::uint64_t unfinished_tasks = 0;  // number of all tasks of started repeats that are not done
  double critical_path_ms = 0;         // estimated duration of the longest chain of dependent stages

  bool is_final() const {
    return state == wire::JOB_COMPLETED || state == wire::JOB_FAILED || state == wire::JOB_CANCELED;
  }
  std::uint32_t repeat_count() const { return spec.repeat_count() > 0 ? spec.repeat_count() : 1; }
  // Number of failed runs of one task or gang with which the job fails.
  std::uint32_t max_retries() const { return terms.max_retries() > 0 ? terms.max_retries() : 1; }
};

// Number of runs of a task that ended END_FAILED. For a gang, the runs of all members are counted, and a run
// that several members report as failed is counted once.
std::uint32_t count_failed_runs(const StageInstance& stage, const Task& task);

// Demand of each task of the stage.
Resources resource_demand(const wire::Stage& stage);

// The checkpoint that the next run of this task resumes from: the task's own, or for a gang the newest of any
// member. The reference is valid as long as the stage's tasks.
const Checkpoint& newest_checkpoint(const StageInstance& stage, const Task& task);

}  // namespace winchhall::cluster::scheduling
