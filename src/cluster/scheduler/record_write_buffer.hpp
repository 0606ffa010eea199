// Buffers changes of durable records until the scheduler's owner takes them to write them.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/scheduler/record_keys.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster::scheduling {

// Collects changes into batches and tracks which batches are durable. A change belongs to the batch that the
// next `take` returns. A batch has one change per key: a later change of the same key replaces the earlier
// one.
class RecordWriteBuffer {
 public:
  // `put`, `remove` and `mark_progress` return the number of the batch that the change belongs to.
  ChangeBatchNumber put(const std::string& key, std::string value);
  ChangeBatchNumber remove(const std::string& key);
  // Puts the job's progress record, which is encoded only when the batch is taken.
  ChangeBatchNumber mark_progress(const std::string& job_id);

  // Undoes `mark_progress` for a job that is about to be erased.
  void unmark_progress(const std::string& job_id);

  // Completes the current batch and returns it; returns an empty batch with number 0 if there are no changes.
  // `encode_progress(job_id)` returns the value of a marked job's progress record.
  template <class Encode>
  Scheduler::ChangeBatch take(Encode encode_progress) {
    for (const std::string& id : jobs_with_new_progress_) put(progress_key(id), encode_progress(id));
    jobs_with_new_progress_.clear();
    return take_batch();
  }
  // Records that all batches up to this number are durable.
  void on_durable(ChangeBatchNumber number) { durable_ = std::max(durable_, number); }
  bool is_durable(ChangeBatchNumber number) const { return number <= durable_; }

 private:
  Scheduler::ChangeBatch take_batch();

  ChangeBatchNumber current_ = 1;                              // number of the batch being collected
  ChangeBatchNumber durable_ = 0;                              // highest number of a durable batch
  std::map<std::string, std::optional<std::string>> changes_;  // by key; none: the record is removed
  std::set<std::string> jobs_with_new_progress_;               // IDs of jobs marked in the current batch
};

}  // namespace winchhall::cluster::scheduling
