#include "cluster/scheduler/run_table.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <vector>

namespace winchhall::cluster::scheduling {
namespace {

constexpr std::size_t kMaxSpeculativeRuns = 2;     // runs of one speculative task at a time
constexpr std::uint64_t kMaxUnexpectedRuns = 100;  // kept for the log, since this node leads

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
  run.report_generation = leaf.report_generation;
  run.ordered_at = state_.now;
  run.progressed_at = state_.now;
  return run;
}

void RunTable::allocate(Run& run) {
  run.leaf->allocated += run.demand;
  if (!run.demand_known) return;
  run.priority = run.job->terms.priority();
  state_.run_counts.add(run.priority);
}

void RunTable::release(const Run& run) {
  run.leaf->allocated = run.leaf->allocated.without(run.demand);
  if (run.demand_known) state_.run_counts.remove(run.priority);
}

void RunTable::attach_task(Run& run, const TaskRef& ref) {
  run.task = ref.task;
  ref.task->runs.push_back(&run);
  ref.task->last_run = std::max(ref.task->last_run, run.number);
  dequeue(*ref.stage, *ref.task);
}

Run& RunTable::start_run(StageInstance& stage, Task& task, Leaf& leaf, RunNumber number, double cost_ms) {
  ++state_.counters.tasks_started;
  Run& run = insert(leaf, format_task_name(stage.task_name(task.index)), number);
  run.job = stage.job;
  run.stage = &stage;
  run.demand = stage.demand;
  run.cost_ms = cost_ms;
  run.start_revision = leaf.issued_revision = ++state_.last_revision;
  allocate(run);
  leaf.load_ms += cost_ms;
  leaf.health.on_start(state_.now);
  ++stage.runs_by_leaf[&leaf];
  ++stage.job->live_runs;
  ++stage.job->repeats.at(stage.repeat).live_runs;
  attach_task(run, {stage.job, &stage, &task});
  if (stage.job->state == wire::JOB_QUEUED) stage.job->state = wire::JOB_RUNNING;
  wire::StartOrder& order = leaf.pending_starts.emplace_back();
  order.set_task(run.name);
  order.set_run(number);
  order.set_spec(stage.job->spec.spec());
  if (stage.spec->checkpoints()) order.set_saved(newest_checkpoint(stage, task).text);
  order.set_revision(run.start_revision);
  state_.last_start_at = state_.now;
  return run;
}

// A leader starts a run only once every earlier one has certainly ended. So if leaves report several runs of
// a task, the one with the highest number is the one that exists, in whichever order they are reported: the
// earlier ones come from the last lists of lost leaves, which worker-agents continue to report. They
// nevertheless stay attached until they have certainly ended, since no run may start while another might
// exist.
void RunTable::stop_surplus_runs(const TaskRef& ref) {
  for (Run* run : find_surplus_runs(ref)) {
    if (run->stop_revision > 0) continue;
    ++state_.counters.surplus_runs;
    stop_run(*run);
  }
}

std::vector<Run*> RunTable::find_surplus_runs(const TaskRef& ref) {
  if (ref.stage->spec->gang()) return find_earlier_gang_runs(*ref.stage);
  const std::size_t limit = ref.stage->spec->speculative() ? kMaxSpeculativeRuns : 1;
  std::vector<Run*> runs = ref.task->runs;
  std::sort(runs.begin(), runs.end(), [](const Run* a, const Run* b) { return a->number < b->number; });
  runs.resize(runs.size() - std::min(runs.size(), limit));
  return runs;
}

std::vector<Run*> RunTable::find_earlier_gang_runs(const StageInstance& stage) {
  const RunNumber newest = newest_gang_run(stage);
  std::vector<Run*> earlier;
  for (const Task& member : stage.tasks)
    std::copy_if(member.runs.begin(), member.runs.end(), std::back_inserter(earlier),
                 [newest](const Run* run) { return run->number < newest; });
  return earlier;
}

RunNumber RunTable::newest_gang_run(const StageInstance& stage) {
  RunNumber newest = 0;
  for (const Task& member : stage.tasks)
    for (const Run* run : member.runs) newest = std::max(newest, run->number);
  return newest;
}

void RunTable::record_if_unexpected(const ReportedRun& reported, const TaskRef& ref) {
  const Run* other = nullptr;
  if (ref.task != nullptr && !ref.stage->spec->speculative()) {
    for (const Run* run : ref.task->runs)
      if (run->start_revision > 0) other = run;
  }
  if (other == nullptr && ref.job != nullptr) return;
  if (++state_.counters.unexpected_runs > kMaxUnexpectedRuns) return;
  UnexpectedRun& found = state_.unexpected_runs.emplace_back();
  found.task = reported.task;
  found.run = reported.number;
  found.leaf = reported.leaf.id;
  found.ended = reported.ended;
  found.job_known = ref.job != nullptr;
  found.job_restored = ref.job != nullptr && ref.job->restored;
  if (other != nullptr) {
    found.other_run = other->number;
    found.other_leaf = other->leaf->id;
  }
  found.session = reported.leaf.session;
  found.report = reported.leaf.report_number;
  const LostRun* lost = state_.losses.find(reported.task, reported.number);
  if (lost == nullptr) return;
  found.loss = lost->reason;
  found.loss_age_ms = std::chrono::duration_cast<Millis>(state_.now - lost->at).count();
  found.loss_session = lost->session;
  found.loss_report = lost->report_number;
}

Run& RunTable::adopt_reported_run(Leaf& leaf, const wire::RunningTask& entry, const TaskRef& ref) {
  ++state_.counters.runs_adopted;
  record_if_unexpected({leaf, entry.task(), entry.run(), false}, ref);
  Run& run = insert(leaf, entry.task(), entry.run());
  run.start_delivered = true;
  run.job = ref.job;
  run.stage = ref.stage;
  if (ref.stage != nullptr) {
    run.demand = ref.stage->demand;
    run.cost_ms = ref.stage->estimate_ms;
    ++ref.stage->runs_by_leaf[&leaf];
    ++ref.job->repeats.at(ref.stage->repeat).live_runs;
  } else {
    run.demand_known = false;
    ++leaf.runs_with_unknown_demand;
  }
  if (ref.job != nullptr) ++ref.job->live_runs;
  allocate(run);
  leaf.load_ms += run.cost_ms;
  if (ref.task == nullptr || ref.task->done || ref.job->is_final()) {
    stop_run(run);
    return run;
  }
  attach_task(run, ref);
  if (ref.job->state == wire::JOB_QUEUED) ref.job->state = wire::JOB_RUNNING;
  stop_surplus_runs(ref);
  return run;
}

void RunTable::stop_run(Run& run) {
  if (run.stop_revision > 0) return;
  Leaf& leaf = *run.leaf;
  erase_order(leaf.pending_starts, run.start_revision);
  if (!run.start_delivered) {
    StageInstance* stage = run.stage;
    Task* task = run.task;
    remove(run);
    if (task != nullptr) enqueue_if_ready(*stage, *task);
    return;
  }
  run.stop_revision = leaf.issued_revision = ++state_.last_revision;
  wire::StopOrder& order = leaf.pending_stops.emplace_back();
  order.set_task(run.name);
  order.set_run(run.number);
  order.set_revision(run.stop_revision);
}

void RunTable::remove(Run& run) {
  Leaf& leaf = *run.leaf;
  release(run);
  leaf.load_ms = std::max(0.0, leaf.load_ms - run.cost_ms);
  if (!run.demand_known) --leaf.runs_with_unknown_demand;
  detach_job(run);
  erase_order(leaf.pending_starts, run.start_revision);
  erase_order(leaf.pending_stops, run.stop_revision);
  leaf.runs.erase(leaf.runs.find(RunKeyView{run.name, run.number}));
  if (leaf.runs.empty()) leaf.load_ms = 0;  // drops rounding errors of the sum
  state_.replan_needed = true;
}

void RunTable::detach_task(Run& run) {
  if (run.task == nullptr) return;
  std::erase(run.task->runs, &run);
  run.task = nullptr;
}

void RunTable::detach_job(Run& run) {
  detach_task(run);
  if (run.stage != nullptr) {
    auto count = run.stage->runs_by_leaf.find(run.leaf);
    if (count != run.stage->runs_by_leaf.end() && --count->second == 0) run.stage->runs_by_leaf.erase(count);
    --run.job->repeats.at(run.stage->repeat).live_runs;
  }
  if (run.job != nullptr) --run.job->live_runs;
  run.stage = nullptr;
  run.job = nullptr;
}

void RunTable::enqueue_if_ready(StageInstance& stage, Task& task) {
  Job& job = *stage.job;
  if (!stage.ready || task.done || !task.runs.empty() || job.is_final() || !job.durable) return;
  if (task.earliest_start > state_.now) {
    state_.delayed_tasks.emplace(task.earliest_start, stage.task_name(task.index));
    return;
  }
  if (!stage.spec->long_running() && count_failed_runs(stage, task) >= job.max_retries()) return;
  if (!stage.queued) stage.waiting_since = state_.now;
  if (stage.waiting.insert(task.index).second) task.enqueued_at = state_.now;
  if (!stage.spec->gang() || stage.waiting.size() == stage.tasks.size()) state_.queue.add(stage);
  state_.replan_needed = true;
}

void RunTable::dequeue(StageInstance& stage, Task& task) {
  stage.waiting.erase(task.index);
  if (stage.waiting.empty() || stage.spec->gang()) state_.queue.remove(stage);
}

void RunTable::dequeue(StageInstance& stage) {
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
