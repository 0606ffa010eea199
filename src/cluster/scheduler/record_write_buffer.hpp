// Changes of records on their way to the disk, and which of them are there.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster::scheduling {

// Coalesces changes of one key. Every change belongs to the set that the next `take` hands out.
class RecordWriteBuffer {
 public:
  // Returns the number of the set that the change belongs to.
  ChangeBatchNumber put(const std::string& key, std::string value);
  ChangeBatchNumber remove(const std::string& key);
  // The value of this key is asked for when the set is taken.
  ChangeBatchNumber mark_progress(const std::string& job_id);
  // Forgets a progress record that was marked.
  void unmark_progress(const std::string& job_id);

  // `encode_progress(job_id)` gives the value of a marked record.
  template <class Encode>
  Scheduler::ChangeBatch take(Encode encode_progress) {
    for (const std::string& id : marked_) put(progress_key(id), encode_progress(id));
    marked_.clear();
    return take_puts();
  }
  void durable(ChangeBatchNumber number) { durable_ = std::max(durable_, number); }
  bool is_durable(ChangeBatchNumber number) const { return number <= durable_; }
  ChangeBatchNumber durable() const { return durable_; }

  static std::string job_key(const std::string& id) { return "job/" + id; }
  static std::string progress_key(const std::string& id) { return "progress/" + id; }
  static std::string worker_key(const std::string& leaf_id) { return "worker/" + leaf_id; }

 private:
  Scheduler::ChangeBatch take_puts();

  ChangeBatchNumber next_ = 1;
  ChangeBatchNumber durable_ = 0;
  std::map<std::string, std::optional<std::string>> changes_;
  std::set<std::string> marked_;
};

}  // namespace winchhall::cluster::scheduling
