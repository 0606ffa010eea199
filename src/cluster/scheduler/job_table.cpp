// All jobs of a service: by ID, by queue, and the estimates that their queues gave so far.
#include "cluster/scheduler/job_table.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

constexpr double kFirstHint = 1;    // ms, until a queue has given one
constexpr double kLateAtTimes = 3;  // a job is late up to this many times its objective
constexpr double kLeastStretch = 1;
constexpr double kSurelyNeeded = 0.5;  // part of an estimate that the work takes at least

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
    queue.hint_sum += stage.estimated_ms();
    queue.hint_count += 1;
  }
  const std::vector<double> chains = critical_paths(*job);
  if (!chains.empty()) job->critical_path_ms = *std::max_element(chains.begin(), chains.end());
  return *(jobs_[id] = std::move(job));
}

Job* JobTable::find(const std::string& id) const {
  auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void JobTable::erase(const std::string& id) { jobs_.erase(id); }

void JobTable::count_end(const Job& job) {
  --live_;
  --queues_[job.terms.queue()].pending;
}

TaskRef JobTable::place_of(const TaskName& name) const {
  TaskRef place;
  place.job = find(name.job);
  if (place.job == nullptr) return place;
  auto repeat = place.job->repeats.find(name.repeat);
  if (repeat == place.job->repeats.end() || name.stage >= repeat->second.stages.size()) return place;
  place.stage = &repeat->second.stages[name.stage];
  if (name.index < place.stage->tasks.size()) place.task = &place.stage->tasks[name.index];
  return place;
}

std::uint32_t JobTable::pending(const std::string& queue) const {
  auto found = queues_.find(queue);
  return found == queues_.end() ? 0 : found->second.pending;
}

double JobTable::hint_of(const Job& job, const wire::Stage& stage) const {
  if (stage.estimated_ms() > 0) return stage.estimated_ms();
  auto queue = queues_.find(job.terms.queue());
  if (queue == queues_.end() || queue->second.hint_count == 0) return kFirstHint;
  return queue->second.hint_sum / queue->second.hint_count;
}

std::vector<double> JobTable::critical_paths(const Job& job) const {
  std::vector<double> chains(static_cast<std::size_t>(job.spec.stages_size()), 0);
  for (std::size_t i = chains.size(); i-- > 0;) {
    const wire::Stage& stage = job.spec.stages(static_cast<int>(i));
    chains[i] += hint_of(job, stage);
    for (std::uint32_t earlier : stage.depends_on())
      if (earlier < i) chains[earlier] = std::max(chains[earlier], chains[i]);
  }
  return chains;
}

Repeat& JobTable::open_repeat(Job& job, std::uint32_t number, TimePoint due) {
  Repeat& repeat = job.repeats[number];
  repeat.stages.resize(static_cast<std::size_t>(job.spec.stages_size()));
  const std::vector<double> chains = critical_paths(job);
  for (std::size_t i = 0; i < repeat.stages.size(); ++i) {
    StageInstance& stage = repeat.stages[i];
    stage.repeat = number;
    stage.number = static_cast<std::uint32_t>(i);
    set_up_stage(job, stage, due, chains[i]);
    job.open_tasks += stage.tasks.size();
  }
  return repeat;
}

void JobTable::set_up_stage(Job& job, StageInstance& stage, TimePoint due, double critical_path_ms) {
  stage.job = &job;
  stage.spec = &job.spec.stages(static_cast<int>(stage.number));
  stage.demand = demand_of(*stage.spec);
  stage.hint = hint_of(job, *stage.spec);
  stage.tasks.resize(stage.spec->count());
  for (std::uint32_t i = 0; i < stage.tasks.size(); ++i) stage.tasks[i].index = i;
  double objective =
      std::max(kLeastStretch, job.terms.stretch()) * job.critical_path_ms + job.terms.target_latency_ms();
  stage.key.priority = job.terms.priority();
  stage.key.start_by = due + to_millis(objective - critical_path_ms);
  stage.key.hint = stage.hint;
  stage.key.sequence = next_sequence_++;
  stage.late_after = due + to_millis(objective - critical_path_ms * kSurelyNeeded);
  stage.worthless_after = due + to_millis(objective * kLateAtTimes);
}

}  // namespace winchhall::cluster::scheduling
