// Encodes jobs, their progress and leaves as durable records, and decodes the records for the next leader.
//
// The entries in the field `tasks` of a progress record are:
// - for done tasks, one entry with `done`, which covers as much as possible: a task, a whole stage (index
//   kAllIndices), a whole repeat (stage kAllIndices, index 0) or all repeats up to one (stage and index
//   kAllIndices);
// - for a task that isn't done, one entry with `failures` 1 for every run that ended END_FAILED, with the run
//   in `last_run`, so that an end that is listed again to a later leader isn't counted twice;
// - for a task that isn't done and has a checkpoint, one entry with its newest checkpoint and, in `last_run`,
//   the run that reported it.
#pragma once

#include <string>
#include <vector>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Value of a stage or index in an entry that applies to all stages or to all tasks. Stored data: it must not
// change.
inline constexpr std::uint32_t kAllIndices = 0xffffffff;

// Encodes a JobRecord.
std::string encode_job(const Job& job);
// Encodes a JobRecord without the spec, which is no longer needed. Only for a job whose final state is
// durable: a leader that found neither spec nor final state would take the job for one without tasks.
std::string encode_ended_job(const Job& job);
// Encodes a ProgressRecord.
std::string encode_progress(const Job& job);
// Encodes a WorkerRecord, which tells later leaders that runs may exist on the leaf.
std::string encode_worker(const std::string& leaf_id, const std::string& node);

// The records of one job.
struct RestoredJob {
  wire::JobRecord record;
  wire::ProgressRecord progress;  // empty if there is none
};
// The records of a shard.
struct RestoredState {
  std::vector<RestoredJob> jobs;
  std::vector<wire::WorkerRecord> workers;
  std::vector<wire::JobTombstoneRecord> tombstones;
  std::vector<std::string> orphaned_keys;  // keys of progress records without a job
};
// Decodes the records of a shard. Job, progress and tombstone records that can't be decoded are left out; a
// worker record is restored from its key alone if its value can't be decoded.
RestoredState decode_records(const std::vector<ShardEntry>& entries);

// True if all tasks of the repeat are done.
bool is_repeat_done(const wire::ProgressRecord& progress, std::uint32_t repeat);
// Number of repeats from the first to the last that the record has an entry for.
std::uint32_t count_started_repeats(const wire::ProgressRecord& progress);
// Sets the tasks of a newly created repeat to their recorded state. Changes only the tasks: the caller
// updates the counts of done tasks, stages and repeats.
void apply_progress(const wire::ProgressRecord& progress, std::uint32_t repeat, Repeat& repeat_state);

}  // namespace winchhall::cluster::scheduling
