// Encodes jobs, their progress and leaves as durable records, and decodes them for the next leader.
//
// The entries of a progress record's `tasks` are:
// - for done tasks: one entry with `done` for a task, a whole stage (index kAll), a whole repeat (stage kAll,
//   index 0) or all repeats up to one (stage and index kAll), whichever covers most;
// - for a task that isn't done: one entry with `failures` 1 for every run that ended END_FAILED, identified
// by
//   `last_run`, so that an end that is listed again to a later leader isn't counted twice; and one with its
//   newest checkpoint and, in `last_run`, the run that reported it.
#pragma once

#include <string>
#include <vector>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// In place of a stage or index: covers all of them.
inline constexpr std::uint32_t kAll = 0xffffffff;

std::string encode_job(const Job& job);
// Without the spec, which nothing needs any more. Only for a job whose final state is durable: to a leader
// that found neither spec nor final state the job would look as if it had nothing to do.
std::string encode_ended_job(const Job& job);
std::string encode_progress(const Job& job);
std::string encode_worker(const std::string& leaf_id, const std::string& node);

struct RestoredJob {
  wire::JobRecord record;
  wire::ProgressRecord progress;  // empty if there is none
};
struct RestoredState {
  std::vector<RestoredJob> jobs;
  std::vector<wire::WorkerRecord> workers;
  std::vector<std::string> stray_keys;  // of progress records without a job
};
// Decodes what a shard holds. Job and progress records that can't be decoded are left out; of a worker record
// the key alone suffices.
RestoredState decode_records(const std::vector<ShardEntry>& entries);

// True if all tasks of this repeat are done.
bool is_repeat_done(const wire::ProgressRecord& progress, std::uint32_t repeat);
// Number of repeats up to and with the last that the record has an entry for.
std::uint32_t count_started_repeats(const wire::ProgressRecord& progress);
// Sets the tasks of a newly created repeat to their recorded state. Only tasks are changed: the counts of
// done tasks, stages and repeats are left to the caller.
void apply_progress(const wire::ProgressRecord& progress, std::uint32_t repeat, Repeat& repeat_state);

}  // namespace winchhall::cluster::scheduling
