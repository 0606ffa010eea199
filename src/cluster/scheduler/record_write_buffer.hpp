// Buffers changes of durable records until the scheduler's owner writes them.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/scheduler/record_keys.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster::scheduling {

// Collects changes into batches, one change per key, and knows which batches are durable. A change belongs to
// the batch that the next `take` gives out; a later change of the same key within a batch replaces it.
class RecordWriteBuffer {
 public:
  // Each returns the number of the batch that the change belongs to.
  ChangeBatchNumber put(const std::string& key, std::string value);
  ChangeBatchNumber remove(const std::string& key);
  // Puts the job's progress record, which is encoded only when the batch is taken.
  ChangeBatchNumber mark_progress(const std::string& job_id);

  // Takes back `mark_progress`, for a job that is about to be erased.
  void unmark_progress(const std::string& job_id);

  // Ends the current batch and returns it; empty with number 0 if it has no changes.
  // `encode_progress(job_id)` returns the value of a marked job's progress record.
  template <class Encode>
  Scheduler::ChangeBatch take(Encode encode_progress) {
    for (const std::string& id : marked_) put(progress_key(id), encode_progress(id));
    marked_.clear();
    return take_batch();
  }
  // All batches up to this number are durable.
  void on_durable(ChangeBatchNumber number) { durable_ = std::max(durable_, number); }
  bool is_durable(ChangeBatchNumber number) const { return number <= durable_; }

 private:
  Scheduler::ChangeBatch take_batch();

  ChangeBatchNumber next_ = 1;                                 // of the current batch
  ChangeBatchNumber durable_ = 0;                              // the highest durable
  std::map<std::string, std::optional<std::string>> changes_;  // by key; none: the record is removed
  std::set<std::string> marked_;                               // IDs of jobs whose progress changed
};

}  // namespace winchhall::cluster::scheduling
