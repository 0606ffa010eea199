// Implementation of ServiceSimulation: leaves and worker-agents.
#pragma once

#include "tests/cluster/scheduler/service_simulation.hpp"

namespace winchhall::cluster::test {

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
  executor_.apply_orders(leaf, orders, lease_until, now_);
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
  // Only the process that sent the report gets the answer.
  at(now_ + message_delay(), [this, &node, orders, session = node.worker.session] {
    if (node.worker.session == session) node.worker.apply_answer(orders, now_);
  });
}

}  // namespace winchhall::cluster::test
