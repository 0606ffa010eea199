// Changes of records on their way to the disk, and which of them are there.
#include "cluster/scheduler/record_log.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {

ChangeNumber RecordLog::put(const std::string& key, std::string value) {
  changes_[key] = std::move(value);
  return next_;
}

ChangeNumber RecordLog::remove(const std::string& key) {
  changes_[key] = std::nullopt;
  return next_;
}

ChangeNumber RecordLog::mark_progress(const std::string& job_id) {
  marked_.insert(job_id);
  return next_;
}

void RecordLog::unmark_progress(const std::string& job_id) { marked_.erase(job_id); }

Scheduler::Changes RecordLog::take_puts() {
  Scheduler::Changes taken;
  if (changes_.empty()) return taken;
  taken.number = next_++;
  taken.changes.reserve(changes_.size());
  for (auto& [key, value] : changes_) taken.changes.push_back({key, std::move(value)});
  changes_.clear();
  return taken;
}

}  // namespace winchhall::cluster::scheduling
