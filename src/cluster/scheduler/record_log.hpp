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
class RecordLog {
 public:
  // Returns the number of the set that the change belongs to.
  ChangeNumber put(const std::string& key, std::string value);
  ChangeNumber remove(const std::string& key);
  // The value of this key is asked for when the set is taken.
  ChangeNumber mark_progress(const std::string& job_id);
  // Forgets a progress record that was marked.
  void unmark_progress(const std::string& job_id);

  // `encode_progress(job_id)` gives the value of a marked record.
  template <class Encode>
  Scheduler::Changes take(Encode encode_progress) {
    for (const std::string& id : marked_) put(progress_key(id), encode_progress(id));
    marked_.clear();
    return take_puts();
  }
  void durable(ChangeNumber number) { durable_ = std::max(durable_, number); }
  bool is_durable(ChangeNumber number) const { return number <= durable_; }
  ChangeNumber durable() const { return durable_; }

  static std::string job_key(const std::string& id) { return "job/" + id; }
  static std::string progress_key(const std::string& id) { return "progress/" + id; }
  static std::string worker_key(const std::string& leaf_id) { return "worker/" + leaf_id; }

 private:
  Scheduler::Changes take_puts();

  ChangeNumber next_ = 1;
  ChangeNumber durable_ = 0;
  std::map<std::string, std::optional<std::string>> changes_;
  std::set<std::string> marked_;
};

}  // namespace winchhall::cluster::scheduling
