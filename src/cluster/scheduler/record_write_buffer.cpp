#include "cluster/scheduler/record_write_buffer.hpp"

#include <utility>

namespace winchhall::cluster::scheduling {

ChangeBatchNumber RecordWriteBuffer::put(const std::string& key, std::string value) {
  changes_[key] = std::move(value);
  return current_;
}

ChangeBatchNumber RecordWriteBuffer::remove(const std::string& key) {
  changes_[key] = std::nullopt;
  return current_;
}

ChangeBatchNumber RecordWriteBuffer::mark_progress(const std::string& job_id) {
  jobs_with_new_progress_.insert(job_id);
  return current_;
}

void RecordWriteBuffer::unmark_progress(const std::string& job_id) { jobs_with_new_progress_.erase(job_id); }

Scheduler::ChangeBatch RecordWriteBuffer::take_batch() {
  Scheduler::ChangeBatch taken;
  if (changes_.empty()) return taken;
  taken.number = current_++;
  taken.changes.reserve(changes_.size());
  for (auto& [key, value] : changes_) taken.changes.push_back({key, std::move(value)});
  changes_.clear();
  return taken;
}

}  // namespace winchhall::cluster::scheduling
