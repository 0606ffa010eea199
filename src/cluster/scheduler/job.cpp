#include "cluster/scheduler/job.hpp"

#include <tuple>

namespace winchhall::cluster::scheduling {

bool QueueKey::operator<(const QueueKey& other) const {
  return std::tie(priority, deadline_status, latest_start, other.estimate_ms, sequence) <
         std::tie(other.priority, other.deadline_status, other.latest_start, estimate_ms, other.sequence);
}

TaskName StageInstance::task_name(std::uint32_t index) const { return {job->id, repeat, number, index}; }

std::uint32_t count_failed_runs(const StageInstance& stage, const Task& task) {
  if (!stage.spec->gang()) return static_cast<std::uint32_t>(task.failed_runs.size());
  std::set<RunNumber> runs;
  for (const Task& member : stage.tasks) runs.insert(member.failed_runs.begin(), member.failed_runs.end());
  return static_cast<std::uint32_t>(runs.size());
}

Resources resource_demand(const wire::Stage& stage) { return {stage.cpu(), stage.mem_mb(), stage.gpu()}; }

const Checkpoint& newest_checkpoint(const StageInstance& stage, const Task& task) {
  const Checkpoint* newest = &task.checkpoint;
  if (!stage.spec->gang()) return *newest;
  for (const Task& member : stage.tasks)
    if (!member.checkpoint.text.empty() && (newest->text.empty() || member.checkpoint.run > newest->run))
      newest = &member.checkpoint;
  return *newest;
}

}  // namespace winchhall::cluster::scheduling
