// Jobs, their repeats, stages and tasks, as one scheduler keeps them in memory.
#include "cluster/scheduler/job.hpp"

#include <tuple>

namespace winchhall::cluster::scheduling {

bool QueueKey::operator<(const QueueKey& other) const {
  return std::tie(priority, outlook, start_by, other.hint, sequence) <
         std::tie(other.priority, other.outlook, other.start_by, hint, other.sequence);
}

TaskName StageInstance::name_of(std::uint32_t index) const { return {job->id, repeat, number, index}; }

std::uint32_t failures_of(const StageInstance& stage, const Task& task) {
  if (!stage.spec->gang()) return static_cast<std::uint32_t>(task.failed_runs.size());
  std::set<RunNumber> runs;
  for (const Task& member : stage.tasks) runs.insert(member.failed_runs.begin(), member.failed_runs.end());
  return static_cast<std::uint32_t>(runs.size());
}

Resources demand_of(const wire::Stage& stage) { return {stage.cpu(), stage.mem_mb(), stage.gpu()}; }

const Checkpoint& checkpoint_for(const StageInstance& stage, const Task& task) {
  const Checkpoint* newest = &task.saved;
  if (!stage.spec->gang()) return *newest;
  for (const Task& member : stage.tasks)
    if (!member.saved.text.empty() && (newest->text.empty() || member.saved.run > newest->run))
      newest = &member.saved;
  return *newest;
}

}  // namespace winchhall::cluster::scheduling
