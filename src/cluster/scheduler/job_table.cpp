#include "cluster/scheduler/job_table.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

constexpr double kDefaultEstimateMs = 1;  // used while no job of the queue has stated an estimate
// A job's result has no value after this multiple of its objective.
constexpr double kWorthlessObjectiveMultiple = 3;
constexpr double kMinStretch = 1;
constexpr double kMinEstimateFraction = 0.5;  // work takes at least this fraction of its estimate

Millis to_millis(double ms) { return Millis(static_cast<std::int64_t>(ms)); }

}  // namespace

Job& JobTable::add(const std::string& id, wire::JobSpec spec, wire::QueueTerms terms) {
  auto job = std::make_unique<Job>();
  job->id = id;
  job->spec = std::move(spec);
  job->terms = std::move(terms);
  job->sequence = next_sequence_++;
  QueueStats& queue = queues_[job->terms.queue()];
  ++queue.pending;
  ++live_;
  for (const wire::Stage& stage : job->spec.stages()) {
    if (stage.estimated_ms() == 0) continue;
    queue.estimate_sum_ms += stage.estimated_ms();
    queue.estimate_count += 1;
  }
  const std::vector<double> paths = critical_paths_ms(*job);
  if (!paths.empty()) job->critical_path_ms = *std::max_element(paths.begin(), paths.end());
  return *(jobs_[id] = std::move(job));
}

Job* JobTable::find(const std::string& id) const {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void JobTable::erase(const std::string& id) { jobs_.erase(id); }

void JobTable::on_job_ended(const Job& job) {
  --live_;
  --queues_[job.terms.queue()].pending;
}

TaskRef JobTable::find_task(const TaskName& name) const {
  TaskRef ref;
  ref.job = find(name.job);
  if (ref.job == nullptr) return ref;
  auto repeat = ref.job->repeats.find(name.repeat);
  if (repeat == ref.job->repeats.end() || name.stage >= repeat->second.stages.size()) return ref;
  ref.stage = &repeat->second.stages[name.stage];
  if (name.index < ref.stage->tasks.size()) ref.task = &ref.stage->tasks[name.index];
  return ref;
}

std::uint32_t JobTable::pending(const std::string& queue) const {
  auto found = queues_.find(queue);
  return found == queues_.end() ? 0 : found->second.pending;
}

double JobTable::estimate_ms_for(const Job& job, const wire::Stage& stage) const {
  if (stage.estimated_ms() > 0) return stage.estimated_ms();
  auto queue = queues_.find(job.terms.queue());
  if (queue == queues_.end() || queue->second.estimate_count == 0) return kDefaultEstimateMs;
  return queue->second.estimate_sum_ms / queue->second.estimate_count;
}

std::vector<double> JobTable::critical_paths_ms(const Job& job) const {
  std::vector<double> paths(static_cast<std::size_t>(job.spec.stages_size()), 0);
  for (std::size_t i = paths.size(); i-- > 0;) {
    const wire::Stage& stage = job.spec.stages(static_cast<int>(i));
    paths[i] += estimate_ms_for(job, stage);
    for (std::uint32_t dependency : stage.depends_on())
      if (dependency < i) paths[dependency] = std::max(paths[dependency], paths[i]);
  }
  return paths;
}

Repeat& JobTable::add_repeat(Job& job, std::uint32_t number, TimePoint due) {
  Repeat& repeat = job.repeats[number];
  repeat.stages.resize(static_cast<std::size_t>(job.spec.stages_size()));
  const std::vector<double> paths = critical_paths_ms(job);
  for (std::size_t i = 0; i < repeat.stages.size(); ++i) {
    StageInstance& stage = repeat.stages[i];
    stage.repeat = number;
    stage.number = static_cast<std::uint32_t>(i);
    initialize_stage(job, stage, due, paths[i]);
    job.unfinished_tasks += stage.tasks.size();
  }
  return repeat;
}

void JobTable::initialize_stage(Job& job, StageInstance& stage, TimePoint due, double critical_path_ms) {
  stage.job = &job;
  stage.spec = &job.spec.stages(static_cast<int>(stage.number));
  stage.demand = resource_demand(*stage.spec);
  stage.estimate_ms = estimate_ms_for(job, *stage.spec);
  stage.tasks.resize(stage.spec->count());
  for (std::uint32_t i = 0; i < stage.tasks.size(); ++i) stage.tasks[i].index = i;
  double objective =
      std::max(kMinStretch, job.terms.stretch()) * job.critical_path_ms + job.terms.target_latency_ms();
  stage.key.priority = job.terms.priority();
  stage.key.latest_start = due + to_millis(objective - critical_path_ms);
  stage.key.estimate_ms = stage.estimate_ms;
  stage.key.sequence = next_sequence_++;
  stage.late_after = due + to_millis(objective - critical_path_ms * kMinEstimateFraction);
  stage.worthless_after = due + to_millis(objective * kWorthlessObjectiveMultiple);
}

}  // namespace winchhall::cluster::scheduling
