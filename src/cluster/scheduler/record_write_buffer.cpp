// Changes of records on their way to the disk, and which of them are there.
#include "cluster/scheduler/record_write_buffer.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {

ChangeBatchNumber RecordWriteBuffer::put(const std::string& key, std::string value) {
  changes_[key] = std::move(value);
  return next_;
}

ChangeBatchNumber RecordWriteBuffer::remove(const std::string& key) {
  changes_[key] = std::nullopt;
  return next_;
}

ChangeBatchNumber RecordWriteBuffer::mark_progress(const std::string& job_id) {
  marked_.insert(job_id);
  return next_;
}

void RecordWriteBuffer::unmark_progress(const std::string& job_id) { marked_.erase(job_id); }

Scheduler::ChangeBatch RecordWriteBuffer::take_puts() {
  Scheduler::ChangeBatch taken;
  if (changes_.empty()) return taken;
  taken.number = next_++;
  taken.changes.reserve(changes_.size());
  for (auto& [key, value] : changes_) taken.changes.push_back({key, std::move(value)});
  changes_.clear();
  return taken;
}

}  // namespace winchhall::cluster::scheduling
