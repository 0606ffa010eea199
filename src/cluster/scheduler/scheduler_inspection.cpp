#include "cluster/scheduler/scheduler_inspection.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

JobView make_view(const Job& job) {
  JobView view;
  view.id = job.id;
  view.queue = job.terms.queue();
  view.state = visible_state(job);
  view.priority = job.terms.priority();
  view.accepted_wall_ms = job.accepted_wall_ms;
  view.repeats = job.repeat_count();
  view.repeats_done = job.repeats_done;
  view.runs = job.live_runs;
  return view;
}

StageView make_view(const StageInstance& stage) {
  StageView view;
  view.repeat = stage.repeat;
  view.number = stage.number;
  view.tasks = stage.tasks.size();
  view.done = stage.done_count;
  view.waiting = stage.waiting.size();
  for (const Task& task : stage.tasks) view.failures += task.failed_runs.size();
  return view;
}

RunView make_view(const Run& run) {
  RunView view;
  view.task = run.name;
  view.run = run.number;
  view.leaf = run.leaf->id;
  view.percent = run.percent;
  view.stopping = run.stop_revision > 0;
  return view;
}

ResourcesView make_view(const Resources& resources) {
  return {resources.cpu, resources.mem_mb, resources.gpu};
}

LeafView make_view(const Leaf& leaf, TimePoint now) {
  LeafView view;
  view.id = leaf.id;
  view.node = leaf.node;
  view.labels = leaf.labels;
  view.capacity = make_view(leaf.capacity);
  view.reserved = make_view(leaf.allocated);
  view.runs = leaf.runs.size();
  view.draining = leaf.draining;
  view.reported = leaf.reported;
  if (leaf.reported) {
    const auto age = std::chrono::duration_cast<Millis>(now - leaf.reported_at);
    view.report_age_ms = std::max<std::int64_t>(0, age.count());
  }
  return view;
}

std::vector<RunView> list_runs(const SchedulerState& state, const Job& job) {
  std::vector<RunView> runs;
  for (const auto& leaf : state.leaves.all()) {
    for (const auto& [key, run] : leaf->runs) {
      if (run.job == &job) runs.push_back(make_view(run));
    }
  }
  std::sort(runs.begin(), runs.end(),
            [](const RunView& left, const RunView& right) { return left.task < right.task; });
  return runs;
}

}  // namespace

wire::JobState visible_state(const Job& job) {
  return job.is_final() && !job.final_state_durable ? wire::JOB_RUNNING : job.state;
}

SchedulerStats collect_stats(const SchedulerState& state) {
  SchedulerStats stats;
  stats.counters = state.counters;
  stats.counters.lost_runs = state.losses.counts();
  stats.live_jobs = state.jobs.live();
  for (const auto& [key, stage] : state.queue.stages()) stats.waiting_tasks += stage->waiting.size();
  for (const auto& leaf : state.leaves.all()) stats.runs += leaf->runs.size();
  stats.leaves = state.leaves.all().size();
  stats.unsynchronized_leaves = state.unsynchronized_leaves.size();
  return stats;
}

JobList list_jobs(const SchedulerState& state, std::size_t limit) {
  std::vector<const Job*> newest_first;
  for (const auto& [id, job] : state.jobs.all()) newest_first.push_back(job.get());
  std::sort(newest_first.begin(), newest_first.end(),
            [](const Job* left, const Job* right) { return left->sequence > right->sequence; });
  JobList list;
  list.total = newest_first.size();
  newest_first.resize(std::min(limit, newest_first.size()));
  for (const Job* job : newest_first) list.jobs.push_back(make_view(*job));
  return list;
}

std::optional<JobDetail> find_job(const SchedulerState& state, const std::string& id) {
  const Job* job = state.jobs.find(id);
  if (job == nullptr) return std::nullopt;
  JobDetail detail;
  detail.job = make_view(*job);
  for (const auto& [number, repeat] : job->repeats) {
    for (const StageInstance& stage : repeat.stages) detail.stages.push_back(make_view(stage));
  }
  detail.runs = list_runs(state, *job);
  return detail;
}

std::vector<LeafView> list_leaves(const SchedulerState& state, TimePoint now) {
  std::vector<LeafView> leaves;
  for (const auto& leaf : state.leaves.all()) leaves.push_back(make_view(*leaf, now));
  std::sort(leaves.begin(), leaves.end(),
            [](const LeafView& left, const LeafView& right) { return left.id < right.id; });
  return leaves;
}

}  // namespace winchhall::cluster::scheduling
