// Book of the runs that may exist: what they hold on their leaves, and which tasks may be placed again.
#include "cluster/scheduler/run_table.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMostCopies = 2;

template <class Order>
void erase_order(std::deque<Order>& orders, Revision revision) {
  auto found = std::find_if(orders.begin(), orders.end(),
                            [&](const Order& order) { return order.revision() == revision; });
  if (found != orders.end()) orders.erase(found);
}

}  // namespace

Run& RunTable::insert(Leaf& leaf, const std::string& name, RunNumber number) {
  Run& run = leaf.runs[RunKey{name, number}];
  run.name = name;
  run.number = number;
  run.leaf = &leaf;
  run.generation = leaf.generation;
  run.ordered_at = state_.now;
  run.moved_at = state_.now;
  return run;
}

void RunTable::reserve(Run& run) {
  run.leaf->reserved += run.demand;
  if (!run.demand_known) return;
  run.priority = run.job->terms.priority();
  run.leaf->use.add(run.priority, run.demand);
  state_.use.add(run.priority, run.demand);
}

void RunTable::release(const Run& run) {
  run.leaf->reserved = run.leaf->reserved.without(run.demand);
  if (!run.demand_known) return;
  run.leaf->use.remove(run.priority, run.demand);
  state_.use.remove(run.priority, run.demand);
}

void RunTable::attach(Run& run, const TaskRef& place) {
  run.task = place.task;
  place.task->runs.push_back(&run);
  place.task->last_run = std::max(place.task->last_run, run.number);
  withdraw(*place.stage, *place.task);
}

Run& RunTable::start(StageInstance& stage, Task& task, Leaf& leaf, RunNumber number, double cost) {
  ++state_.counters.tasks_started;
  Run& run = insert(leaf, format_task_name(stage.name_of(task.index)), number);
  run.job = stage.job;
  run.stage = &stage;
  run.demand = stage.demand;
  run.cost = cost;
  run.start_revision = ++leaf.revision;
  reserve(run);
  leaf.cost += cost;
  leaf.health.started();
  ++stage.on_leaf[&leaf];
  ++stage.job->live_runs;
  ++stage.job->repeats.at(stage.repeat).live_runs;
  attach(run, {stage.job, &stage, &task});
  if (stage.job->state == wire::JOB_QUEUED) stage.job->state = wire::JOB_RUNNING;
  wire::StartOrder& order = leaf.starts.emplace_back();
  order.set_task(run.name);
  order.set_run(number);
  order.set_spec(stage.job->spec.spec());
  if (stage.spec->checkpoints()) order.set_saved(checkpoint_for(stage, task).text);
  order.set_revision(run.start_revision);
  state_.last_start = state_.now;
  return run;
}

bool RunTable::may_attach(const Run& run, const TaskRef& place) const {
  if (place.task == nullptr || place.job->final() || place.task->done) return false;
  if (place.stage->spec->gang())
    for (const Task& member : place.stage->tasks)
      for (const Run* other : member.runs)
        if (other->number != run.number) return false;
  std::size_t most = place.stage->spec->speculative() && !place.stage->spec->gang() ? kMostCopies : 1;
  return place.task->runs.size() < most;
}

Run& RunTable::adopt(Leaf& leaf, const wire::RunningTask& entry, const TaskRef& place) {
  Run& run = insert(leaf, entry.task(), entry.run());
  run.told = true;
  run.job = place.job;
  run.stage = place.stage;
  if (place.stage != nullptr) {
    run.demand = place.stage->demand;
    run.cost = place.stage->hint;
    ++place.stage->on_leaf[&leaf];
    ++place.job->repeats.at(place.stage->repeat).live_runs;
  } else {
    run.demand_known = false;
    ++leaf.unknown_runs;
  }
  if (place.job != nullptr) ++place.job->live_runs;
  reserve(run);
  leaf.cost += run.cost;
  if (!may_attach(run, place)) {
    stop(run);
    return run;
  }
  attach(run, place);
  if (place.job->state == wire::JOB_QUEUED) place.job->state = wire::JOB_RUNNING;
  return run;
}

void RunTable::stop(Run& run) {
  if (run.stop_revision > 0) return;
  Leaf& leaf = *run.leaf;
  erase_order(leaf.starts, run.start_revision);
  if (!run.told) {
    StageInstance* stage = run.stage;
    Task* task = run.task;
    remove(run);
    if (task != nullptr) offer(*stage, *task);
    return;
  }
  run.stop_revision = ++leaf.revision;
  wire::StopOrder& order = leaf.stops.emplace_back();
  order.set_task(run.name);
  order.set_run(run.number);
  order.set_revision(run.stop_revision);
}

void RunTable::remove(Run& run) {
  Leaf& leaf = *run.leaf;
  release(run);
  leaf.cost = std::max(0.0, leaf.cost - run.cost);
  if (!run.demand_known) --leaf.unknown_runs;
  detach_job(run);
  erase_order(leaf.starts, run.start_revision);
  erase_order(leaf.stops, run.stop_revision);
  auto entry = leaf.runs.find(RunKeyView{run.name, run.number});
  leaf.runs.erase(entry);
  if (leaf.runs.empty()) leaf.cost = 0;
  state_.changed = true;
}

void RunTable::detach(Run& run) {
  if (run.task == nullptr) return;
  std::erase(run.task->runs, &run);
  run.task = nullptr;
}

void RunTable::detach_job(Run& run) {
  detach(run);
  if (run.stage != nullptr) {
    auto count = run.stage->on_leaf.find(run.leaf);
    if (count != run.stage->on_leaf.end() && --count->second == 0) run.stage->on_leaf.erase(count);
    --run.job->repeats.at(run.stage->repeat).live_runs;
  }
  if (run.job != nullptr) --run.job->live_runs;
  run.stage = nullptr;
  run.job = nullptr;
}

void RunTable::offer(StageInstance& stage, Task& task) {
  Job& job = *stage.job;
  if (!stage.open || task.done || !task.runs.empty() || job.final() || !job.durable) return;
  if (task.earliest_start > state_.now) {
    state_.retries.emplace(task.earliest_start, stage.name_of(task.index));
    return;
  }
  if (!stage.spec->long_running() && failures_of(stage, task) >= job.max_retries()) return;
  if (!stage.queued) stage.waiting_since = state_.now;
  if (stage.waiting.insert(task.index).second) task.enqueued_at = state_.now;
  if (!stage.spec->gang() || stage.waiting.size() == stage.tasks.size()) state_.queue.add(stage);
  state_.changed = true;
}

void RunTable::withdraw(StageInstance& stage, Task& task) {
  stage.waiting.erase(task.index);
  if (stage.waiting.empty() || stage.spec->gang()) state_.queue.remove(stage);
}

void RunTable::withdraw(StageInstance& stage) {
  stage.waiting.clear();
  state_.queue.remove(stage);
}

RunNumber RunTable::next_run_number(const StageInstance& stage, const Task& task) const {
  RunNumber last = task.last_run;
  if (stage.spec->gang())
    for (const Task& member : stage.tasks) last = std::max(last, member.last_run);
  return std::max(last + 1, state_.first_run_number());
}

}  // namespace winchhall::cluster::scheduling
