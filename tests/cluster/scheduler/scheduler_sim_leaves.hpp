// The simulated service's leaves and worker-agents at work.
#pragma once

#include "tests/cluster/scheduler/scheduler_sim.hpp"

namespace winchhall::cluster::test {

inline constexpr Ms kWorkStep = 5;

inline void SchedulerSim::step_leaf(SimLeaf& leaf) {
  if (leaf.held_until >= 0 && now_ > leaf.held_until) leaf.lapse(checker_.log, now_);
  std::vector<std::string> names;
  for (const auto& [name, run] : leaf.running) names.push_back(name);
  for (const std::string& name : names) {
    auto found = leaf.running.find(name);
    if (found == leaf.running.end()) continue;
    SimRun& run = found->second;
    const wire::Stage& stage = leaf.stage_of(run);
    if (run.stop_at >= 0 && now_ >= run.stop_at) {
      leaf.end(name, wire::END_STOPPED, checker_.log, now_);
    } else if (stage.gang()) {
      step_gang(leaf, name);
    } else if (!leaf.still) {
      run.worked += kWorkStep;
      if (stage.checkpoints() && run.worked % 1000 < kWorkStep)
        run.saved = name + "/" + std::to_string(run.worked);
      if (run.worked < run.work_ms) continue;
      leaf.end(name, run.fails || leaf.fails_all ? wire::END_FAILED : wire::END_DONE, checker_.log, now_);
    }
  }
}

inline void SchedulerSim::step_gang(SimLeaf& leaf, const std::string& task) {
  SimRun& run = leaf.running.at(task);
  std::string prefix = SimLog::stage_part(task);
  std::uint32_t present = 0;
  for (const auto& other : leaves_)
    for (auto name = other->running.lower_bound(prefix);
         name != other->running.end() && name->first.starts_with(prefix); ++name)
      if (name->second.run == run.run) ++present;
  const std::set<wire::EndKind>& ends = checker_.log.group_ends[{prefix, run.run}];
  bool done = ends.contains(wire::END_DONE);
  bool broken = !done && !ends.empty();
  if (done) return leaf.end(task, wire::END_DONE, checker_.log, now_);
  bool began = run.worked > 0;
  if (broken && began) return leaf.end(task, wire::END_BROKEN, checker_.log, now_);
  if (present < leaf.stage_of(run).count()) {
    if (began) return leaf.end(task, wire::END_BROKEN, checker_.log, now_);
    if (now_ - run.started_at < checker_.bounds.gang.count()) return;
    checker_.on_alone(run, now_);
    return leaf.end(task, wire::END_ALONE, checker_.log, now_);
  }
  run.worked += kWorkStep;
  if (leaf.stage_of(run).checkpoints() && run.worked % 1000 < kWorkStep)
    run.saved = task + "/" + std::to_string(run.worked);
  if (run.worked >= run.work_ms)
    leaf.end(task, run.fails || leaf.fails_all ? wire::END_FAILED : wire::END_DONE, checker_.log, now_);
}

inline void SchedulerSim::heartbeat(Node& node) {
  SimLeaf& leaf = *node.leaf;
  SimWorker& worker = node.worker;
  node.next_heartbeat = now_ + between(30, 200);
  if (leaf.draining && now_ >= leaf.ends_at) {
    worker.take_leaf(leaf.id);
    worker.left = true;
    worker.news = true;
    kill_leaf(node);
    return;
  }
  worker.take_leaf(leaf.id);
  worker.heartbeat_at = now_;
  wire::LeafDescription said;
  said.set_service("s");
  said.set_cpu(static_cast<std::uint32_t>(leaf.capacity.cpu));
  said.set_mem_mb(static_cast<std::uint32_t>(leaf.capacity.mem_mb));
  said.set_gpu(static_cast<std::uint32_t>(leaf.capacity.gpu));
  for (const std::string& label : leaf.labels) said.add_labels(label);
  said.set_draining(leaf.draining);
  if (leaf.draining) said.set_remaining_ms(static_cast<std::uint32_t>(std::max<Ms>(0, leaf.ends_at - now_)));
  if (leaf.draining && leaf.drain_acknowledged < 0) leaf.drain_acknowledged = now_;
  std::vector<wire::RunningTask> running;
  for (const auto& [name, run] : leaf.running) {
    wire::RunningTask& entry = running.emplace_back();
    entry.set_task(name);
    entry.set_run(run.run);
    entry.set_saved(run.saved);
    entry.set_percent(static_cast<std::uint32_t>(run.worked * 100 / std::max<Ms>(1, run.work_ms)));
  }
  std::size_t before = worker.finished.size();
  bool same =
      running.size() == worker.running.size() &&
      std::equal(running.begin(), running.end(), worker.running.begin(),
                 [](const auto& a, const auto& b) { return a.SerializeAsString() == b.SerializeAsString(); });
  worker.running = running;
  worker.finished.assign(leaf.finished.begin(),
                         leaf.finished.begin() + std::min<std::ptrdiff_t>(500, std::ssize(leaf.finished)));
  bool ends_same =
      before == worker.finished.size() &&
      (before == 0 || worker.finished.back().number() == worker.finished.front().number() + before - 1);
  std::uint64_t settled = worker.settled;
  worker.resolve();
  worker.lists_changed = worker.lists_changed || !same || !ends_same || before != 0;
  worker.news =
      worker.lists_changed || worker.settled != settled || said.draining() != worker.description.draining();
  worker.description = said;
  Ms hold_until = worker.grant_until > now_ ? now_ + std::min<Ms>(worker.grant_until - now_, 10000) : -1;
  wire::WorkerOrders delivered;
  delivered.set_epoch(worker.epoch);
  delivered.set_last_seen(worker.last_seen);
  if (hold_until >= 0 && !leaf.draining)
    for (const auto& [revision, start] : worker.starts) *delivered.add_starts() = start;
  for (const auto& [revision, stop] : worker.stops) *delivered.add_stops() = stop;
  if (lost()) return;
  node.next_heartbeat = now_ + between(30, 200);
  carry_out(node, leaf.id, delivered, hold_until);
}

inline void SchedulerSim::carry_out(Node& node, const std::string& leaf_id,
                                    const wire::WorkerOrders& delivered, Ms hold_until) {
  SimLeaf& leaf = *node.leaf;
  if (leaf.id != leaf_id || delivered.epoch() < leaf.fence) return;
  leaf.fence = delivered.epoch();
  leaf.note_ends(delivered.last_seen());
  if (hold_until >= 0)
    leaf.held_until = std::max(
        leaf.held_until, now_ + static_cast<Ms>(static_cast<double>(hold_until - now_) * leaf.slow_clock));
  for (const wire::StopOrder& stop : delivered.stops()) {
    auto run = leaf.running.find(stop.task());
    if (run != leaf.running.end() && run->second.run == stop.run() && run->second.stop_at < 0)
      run->second.stop_at = now_ + between(0, checker_.bounds.stop.count());
  }
  if (hold_until < 0) return;
  for (const wire::StartOrder& start : delivered.starts()) begin(leaf, start);
}

inline void SchedulerSim::begin(SimLeaf& leaf, const wire::StartOrder& order) {
  auto known = leaf.running.find(order.task());
  if (known != leaf.running.end() && known->second.run == order.run()) return;
  if (order.run() <= leaf.highest_ended[order.task()])
    return checker_.log.fail("RUN", "not above an ended one: " + order.task(), now_);
  SimRun run;
  run.task = order.task();
  run.run = order.run();
  run.name = *scheduling::parse_task_name(order.task());
  auto job = checker_.jobs.find(run.name.job);
  if (job == checker_.jobs.end()) return checker_.log.fail("UNASKED", order.task(), now_);
  run.job = &job->second;
  run.started_at = now_;
  const wire::Stage& stage = leaf.stage_of(run);
  run.work_ms = std::max<Ms>(10, static_cast<Ms>(stage.estimated_ms() * (0.5 + chance())));
  if (stage.long_running()) run.work_ms = between(500, 20000);
  run.fails = chance() < job->second.fail_rate;
  run.saved = order.saved();
  checker_.on_start(leaf, run, leaves_, order.spec(), order.saved(), now_);
  leaf.running[run.task] = run;
}

inline void SchedulerSim::report(Node& node) {
  wire::WorkerReport report = node.worker.make_report(now_);
  if (now_ < node.cut_until) return;
  int copies = lost() ? 0 : chance() < troubles_.loss ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    at(now_ + delay(), [this, &node, report] {
      if (leader_ == nullptr) return;
      leader_->report(report, time(), now_);
      flush();
      if (node.answer_by < 0) node.answer_by = now_ + 300;
    });
  }
}

inline void SchedulerSim::answer(Node& node) {
  node.answer_by = -1;
  wire::WorkerOrders orders = leader_->orders(node.worker.leaf_id, time());
  if (now_ < node.cut_until || lost()) return;
  at(now_ + delay(), [this, &node, orders] { node.worker.take_orders(orders, now_); });
}

}  // namespace winchhall::cluster::test
