// Implementation of ServiceSimulation: leaves and worker-agents.
#pragma once

#include "tests/cluster/scheduler/service_simulation.hpp"

namespace winchhall::cluster::test {

inline void ServiceSimulation::step_leaf(SimulatedLeaf& leaf) {
  if (leaf.lease_expires_at >= 0 && now_ > leaf.lease_expires_at) leaf.expire_lease(checker_.log, now_);
  std::vector<std::string> names;
  for (const auto& [name, run] : leaf.running) names.push_back(name);
  for (const std::string& name : names) {
    auto found = leaf.running.find(name);
    if (found == leaf.running.end()) continue;
    SimulatedRun& run = found->second;
    const wire::Stage& stage = leaf.stage_of(run);
    if (run.stop_at >= 0 && now_ >= run.stop_at) {
      leaf.end(name, wire::END_STOPPED, checker_.log, now_);
    } else if (stage.gang()) {
      step_gang(leaf, name);
    } else if (!leaf.stalls) {
      run.worked_ms += kStep;
      if (stage.checkpoints() && run.worked_ms % 1000 < kStep)
        run.checkpoint = name + "/" + std::to_string(run.worked_ms);
      if (run.worked_ms < run.work_ms) continue;
      leaf.end(name, run.fails || leaf.fails_everything ? wire::END_FAILED : wire::END_DONE, checker_.log,
               now_);
    }
  }
}

inline void ServiceSimulation::step_gang(SimulatedLeaf& leaf, const std::string& task) {
  SimulatedRun& run = leaf.running.at(task);
  std::string prefix = EventLog::stage_part(task);
  std::uint32_t present = 0;
  for (const auto& other : leaves_)
    for (auto name = other->running.lower_bound(prefix);
         name != other->running.end() && name->first.starts_with(prefix); ++name)
      if (name->second.run == run.run) ++present;
  const std::set<wire::EndKind>& ends = checker_.log.gang_ends[{prefix, run.run}];
  bool done = ends.contains(wire::END_DONE);
  bool broken = !done && !ends.empty();
  if (done) return leaf.end(task, wire::END_DONE, checker_.log, now_);
  bool began = run.worked_ms > 0;
  if (broken && began) return leaf.end(task, wire::END_BROKEN, checker_.log, now_);
  if (present < leaf.stage_of(run).count()) {
    if (began) return leaf.end(task, wire::END_BROKEN, checker_.log, now_);
    if (now_ - run.started_at < checker_.bounds.gang.count()) return;
    checker_.on_incomplete_gang(run, now_);
    return leaf.end(task, wire::END_ALONE, checker_.log, now_);
  }
  run.worked_ms += kStep;
  if (leaf.stage_of(run).checkpoints() && run.worked_ms % 1000 < kStep)
    run.checkpoint = task + "/" + std::to_string(run.worked_ms);
  if (run.worked_ms >= run.work_ms)
    leaf.end(task, run.fails || leaf.fails_everything ? wire::END_FAILED : wire::END_DONE, checker_.log,
             now_);
}

inline wire::LeafDescription ServiceSimulation::describe(const SimulatedLeaf& leaf, Ms now) {
  wire::LeafDescription description;
  description.set_service("s");
  description.set_cpu(static_cast<std::uint32_t>(leaf.capacity.cpu));
  description.set_mem_mb(static_cast<std::uint32_t>(leaf.capacity.mem_mb));
  description.set_gpu(static_cast<std::uint32_t>(leaf.capacity.gpu));
  for (const std::string& label : leaf.labels) description.add_labels(label);
  description.set_draining(leaf.draining);
  if (leaf.draining)
    description.set_remaining_ms(static_cast<std::uint32_t>(std::max<Ms>(0, leaf.ends_at - now)));
  return description;
}

inline std::vector<wire::RunningTask> ServiceSimulation::list_running(const SimulatedLeaf& leaf) {
  std::vector<wire::RunningTask> running;
  for (const auto& [name, run] : leaf.running) {
    wire::RunningTask& entry = running.emplace_back();
    entry.set_task(name);
    entry.set_run(run.run);
    entry.set_saved(run.checkpoint);
    entry.set_percent(static_cast<std::uint32_t>(run.worked_ms * 100 / std::max<Ms>(1, run.work_ms)));
  }
  return running;
}

inline void ServiceSimulation::update_worker(Node& node) {
  SimulatedLeaf& leaf = *node.leaf;
  SimulatedWorkerAgent& worker = node.worker;
  const wire::LeafDescription description = describe(leaf, now_);
  std::vector<wire::RunningTask> running = list_running(leaf);
  const bool same_running =
      std::equal(running.begin(), running.end(), worker.running.begin(), worker.running.end(),
                 [](const auto& a, const auto& b) { return a.SerializeAsString() == b.SerializeAsString(); });
  const std::size_t ends_before = worker.finished.size();
  worker.running = std::move(running);
  worker.finished.assign(leaf.finished.begin(),
                         leaf.finished.begin() + std::min<std::ptrdiff_t>(500, std::ssize(leaf.finished)));
  const bool no_ends = ends_before == 0 && worker.finished.empty();
  const std::uint64_t applied = worker.applied;
  worker.resolve_orders();
  worker.lists_changed = worker.lists_changed || !same_running || !no_ends;
  worker.has_changes = worker.lists_changed || worker.applied != applied ||
                       description.draining() != worker.description.draining();
  worker.description = description;
}

inline void ServiceSimulation::heartbeat(Node& node) {
  SimulatedLeaf& leaf = *node.leaf;
  SimulatedWorkerAgent& worker = node.worker;
  node.next_heartbeat = now_ + between(30, 200);
  worker.observe_leaf(leaf.id);
  if (leaf.draining && now_ >= leaf.ends_at) {
    worker.left = true;
    worker.has_changes = true;
    stop_leaf(node, between(200, 3000));
    return;
  }
  worker.heartbeat_at = now_;
  if (leaf.draining && leaf.drain_acknowledged < 0) leaf.drain_acknowledged = now_;
  update_worker(node);
  const Ms lease_until =
      worker.grant_until > now_ ? now_ + std::min<Ms>(worker.grant_until - now_, 10000) : -1;
  wire::WorkerOrders orders;
  orders.set_epoch(worker.epoch);
  orders.set_last_seen(worker.last_seen);
  if (lease_until >= 0 && !leaf.draining)
    for (const auto& [revision, start] : worker.starts) *orders.add_starts() = start;
  for (const auto& [revision, stop] : worker.stops) *orders.add_stops() = stop;
  worker.orders_in_flight = orders.starts_size() + orders.stops_size() > 0;
  if (loses_message()) return;
  node.next_heartbeat = now_ + between(30, 200);
  apply_orders(leaf, orders, lease_until);
}

inline void ServiceSimulation::apply_orders(SimulatedLeaf& leaf, const wire::WorkerOrders& orders,
                                            Ms lease_until) {
  if (orders.epoch() < leaf.fencing_epoch) return;
  leaf.fencing_epoch = orders.epoch();
  leaf.acknowledge_ends(orders.last_seen());
  if (lease_until >= 0) {
    const double lease_ms = static_cast<double>(lease_until - now_) * leaf.clock_slowdown;
    leaf.lease_expires_at = std::max(leaf.lease_expires_at, now_ + static_cast<Ms>(lease_ms));
  }
  for (const wire::StopOrder& stop : orders.stops()) {
    auto run = leaf.running.find(stop.task());
    if (run != leaf.running.end() && run->second.run == stop.run() && run->second.stop_at < 0)
      run->second.stop_at = now_ + between(0, checker_.bounds.stop.count());
  }
  if (lease_until < 0) return;
  for (const wire::StartOrder& start : orders.starts()) start_run(leaf, start);
}

inline void ServiceSimulation::start_run(SimulatedLeaf& leaf, const wire::StartOrder& order) {
  auto known = leaf.running.find(order.task());
  if (known != leaf.running.end() && known->second.run == order.run()) return;
  if (order.run() <= leaf.highest_ended[order.task()])
    return checker_.log.add_violation("RUN", "not above an ended one: " + order.task(), now_);
  SimulatedRun run;
  run.task = order.task();
  run.run = order.run();
  run.name = *scheduling::parse_task_name(order.task());
  auto job = checker_.jobs.find(run.name.job);
  if (job == checker_.jobs.end()) return checker_.log.add_violation("UNASKED", order.task(), now_);
  run.job = &job->second;
  run.started_at = now_;
  const wire::Stage& stage = leaf.stage_of(run);
  run.work_ms = std::max<Ms>(10, static_cast<Ms>(stage.estimated_ms() * (0.5 + chance())));
  if (stage.long_running()) run.work_ms = between(500, 20000);
  run.fails = chance() < job->second.fail_rate;
  run.checkpoint = order.saved();
  checker_.on_start(leaf, run, leaves_, order.spec(), order.saved(), now_);
  leaf.running[run.task] = run;
}

inline void ServiceSimulation::report(Node& node) {
  wire::WorkerReport report = node.worker.make_report(now_);
  if (now_ < node.partitioned_until) return;
  int copies = loses_message() ? 0 : chance() < faults_.loss ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    at(now_ + message_delay(), [this, &node, report] {
      if (leader_ == nullptr) return;
      leader_->report(report, time(), now_);
      write_changes();
      if (node.answer_by < 0) node.answer_by = now_ + 300;
    });
  }
}

inline void ServiceSimulation::deliver_answer(Node& node) {
  node.answer_by = -1;
  wire::WorkerOrders orders = leader_->make_orders(node.worker.leaf_id, time());
  if (now_ < node.partitioned_until || loses_message()) return;
  at(now_ + message_delay(), [this, &node, orders] { node.worker.apply_answer(orders, now_); });
}

}  // namespace winchhall::cluster::test
