// Durable form of jobs and their progress.
//
// A progress record holds, in `tasks`: every task that is done, shortened to one entry for a whole stage
// (index kEvery), a whole repeat (stage kEvery, index 0) or all repeats up to one (stage and index kEvery);
// one entry with `failures` 1 for every run that ended `failed`, named by `last_run`, so that an end that is
// listed again to a later leader is not counted twice; and the newest checkpoint with the run that saved it.
#pragma once

#include <string>
#include <vector>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

inline constexpr std::uint32_t kEvery = 0xffffffff;

std::string encode_job(const Job& job);
// The record of a job that has ended, once that is durable: without its spec, which nothing needs any more.
std::string encode_ended_job(const Job& job);
std::string encode_progress(const Job& job);
std::string encode_worker(const std::string& leaf_id, const std::string& node);

// What the shard held when the lease was got. Records that can't be read are left out.
struct RestoredJob {
  wire::JobRecord record;
  wire::ProgressRecord progress;
};
struct RestoredState {
  std::vector<RestoredJob> jobs;
  std::vector<wire::WorkerRecord> workers;
  std::vector<std::string> stray_keys;  // progress of no job
};
RestoredState decode_records(const std::vector<ShardEntry>& entries);

// Whether the record says that all of this repeat is done.
bool repeat_done_in(const wire::ProgressRecord& progress, std::uint32_t repeat);
// Number of repeats, from the first, up to the last of which the record tells anything.
std::uint32_t begun_in(const wire::ProgressRecord& progress);
// Brings an opened repeat to the state of the record; done counts are not changed, done tasks are only
// marked.
void apply_progress(const wire::ProgressRecord& progress, std::uint32_t repeat, Repeat& opened);

}  // namespace winchhall::cluster::scheduling
