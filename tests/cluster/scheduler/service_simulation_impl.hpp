// Implementation of ServiceSimulation: leaders, clients and faults.
#pragma once

#include "tests/cluster/scheduler/service_simulation.hpp"

namespace winchhall::cluster::test {

inline constexpr Ms kStateCheckInterval = 100;

inline ServiceSimulation::ServiceSimulation(std::uint64_t seed, std::size_t leaves, FaultRates faults)
    : random_(seed), faults_(faults) {
  checker_.fault_free = !faults.any();
  for (std::size_t i = 0; i < leaves; ++i) {
    auto& node = *nodes_.emplace_back(std::make_unique<Node>());
    node.worker.node = "node-" + std::to_string(i);
    node.worker.session = random_();
    start_leaf(node);
  }
  start_leader();
}

inline void ServiceSimulation::start_leaf(Node& node) {
  auto& leaf = *leaves_.emplace_back(std::make_unique<SimulatedLeaf>());
  leaf.id = "i-" + std::to_string(next_leaf_++);
  const std::size_t index = std::stoul(node.worker.node.substr(5));
  leaf.capacity = index % 3 == 2 ? Resources{16000, 16384, 4} : Resources{8000, 8192, 0};
  leaf.labels = {index % 3 == 2 ? "g" : "a", "r-" + std::to_string(index / 3)};
  leaf.clock_slowdown = 1 + chance() * 0.02;
  node.leaf = &leaf;
  node.next_heartbeat = now_ + between(5, 100);
}

inline void ServiceSimulation::stop_leaf(Node& node, Ms restart_after) {
  std::string id = node.leaf->id;
  for (auto& end : node.leaf->unacknowledged) end->acknowledged = false;
  std::erase_if(leaves_, [&](const auto& leaf) { return leaf->id == id; });
  node.leaf = nullptr;
  node.restart_at = now_ + restart_after;
}

inline void ServiceSimulation::start_leader() {
  SchedulerOptions options;
  options.service = "s";
  options.bounds = checker_.bounds;
  options.lease_duration = Millis(4000);
  leader_ = make_scheduler(options, ++epoch_, random_());
  leader_->restore(shard_entries(records_), time(), now_);
}

inline void ServiceSimulation::stop_leader() {
  leader_.reset();
  // Of the batches that were being written, those up to a random one become durable.
  for (const Scheduler::ChangeBatch& batch : writes_) {
    if (chance() >= 0.5) break;
    apply_changes(records_, batch.changes);
  }
  writes_.clear();
  for (auto& node : nodes_) node->answer_by = -1;
  at(now_ + between(200, 2500), [this] { start_leader(); });
}

inline void ServiceSimulation::write_changes() {
  Scheduler::ChangeBatch batch = leader_->take_changes();
  if (batch.number == 0) return;
  const ChangeBatchNumber number = batch.number;
  writes_.push_back(std::move(batch));
  at(now_ + between(3, 20), [this, epoch = epoch_, number] {
    if (leader_ == nullptr || epoch != epoch_) return;
    while (!writes_.empty() && writes_.front().number <= number) {
      apply_changes(records_, writes_.front().changes);
      writes_.pop_front();
    }
    leader_->on_changes_durable(number);
  });
}

inline void ServiceSimulation::when_durable(ChangeBatchNumber number, std::function<void()> action) {
  at(now_ + kStep, [this, epoch = epoch_, number, action = std::move(action)] {
    if (epoch != epoch_ || leader_ == nullptr) return;
    const bool durable = number == 0 || writes_.empty() || writes_.front().number > number;
    if (!durable) return when_durable(number, action);
    action();
  });
}

inline void ServiceSimulation::submit(SimulatedJob job) {
  std::string id = job.id;
  if (!checker_.jobs.contains(id)) {
    job.submitted_at = now_;
    checker_.jobs[id] = std::move(job);
  }
  SimulatedJob& stored = checker_.jobs[id];
  if (stored.accepted_at >= 0) return;
  at(now_ + 400, [this, id] { submit(checker_.jobs[id]); });
  if (leader_ == nullptr) return;
  SubmitResult result = leader_->submit(id, stored.spec, stored.terms, time(), now_);
  if (result.outcome != wire::JOB_OK) checker_.log.add_violation("SUBMIT", result.reason, now_);
  write_changes();
  when_durable(result.durable_after, [this, id] {
    SimulatedJob& answered = checker_.jobs[id];
    if (answered.accepted_at < 0) answered.accepted_at = now_;
  });
}

inline void ServiceSimulation::cancel(const std::string& id) {
  SimulatedJob& job = checker_.jobs[id];
  if (job.cancelled_at >= 0) return;
  at(now_ + 400, [this, id] { cancel(id); });
  if (leader_ == nullptr || job.accepted_at < 0) return;
  job.cancel_sent = true;
  const JobLookup result = leader_->cancel(id, time(), now_);
  write_changes();
  when_durable(result.durable_after, [this, id] {
    SimulatedJob& answered = checker_.jobs[id];
    if (answered.cancelled_at < 0) answered.cancelled_at = now_;
  });
}

inline void ServiceSimulation::run_until(Ms time_limit) {
  while (now_ < time_limit && checker_.log.violations.empty()) step();
}

inline void ServiceSimulation::step() {
  now_ += kStep;
  while (!events_.empty() && events_.top().at <= now_) {
    auto action = events_.top().action;
    events_.pop();
    action();
  }
  if (now_ < faults_until) inject_faults();
  for (auto& leaf : leaves_) executor_.step(*leaf, now_);
  for (auto& node : nodes_) {
    if (node->leaf == nullptr && now_ >= node->restart_at) start_leaf(*node);
    if (node->leaf != nullptr && now_ >= node->next_heartbeat) heartbeat(*node);
    const SimulatedWorkerAgent& worker = node->worker;
    if (!worker.leaf_id.empty() && (worker.has_changes || now_ >= worker.next_report)) report(*node);
  }
  if (leader_ == nullptr) return;
  leader_->plan(time(), now_);
  write_changes();
  for (auto& node : nodes_) {
    if (node->answer_by < 0) continue;
    if (now_ >= node->answer_by || leader_->has_undelivered_orders(node->worker.leaf_id))
      deliver_answer(*node);
  }
  if (now_ % kStateCheckInterval == 0) check_visible_states();
}

inline void ServiceSimulation::check_visible_states() {
  for (auto& [id, job] : checker_.jobs) {
    wire::JobState state = leader_->state(id);
    checker_.on_visible_state(job, state, now_);
  }
}

inline bool ServiceSimulation::all_ended() const {
  for (const auto& [id, job] : checker_.jobs)
    if (job.final_at < 0) return false;
  return true;
}

inline void ServiceSimulation::inject_faults() {
  double step_seconds = static_cast<double>(kStep) / 1000;
  auto happens = [&](double rate) { return rate > 0 && chance() < rate * step_seconds; };
  Node& node = *nodes_[static_cast<std::size_t>(between(0, static_cast<Ms>(nodes_.size()) - 1))];
  if (happens(faults_.leaf_crashes) && node.leaf != nullptr) stop_leaf(node, between(200, 3000));
  if (happens(faults_.leaf_losses) && node.leaf != nullptr) stop_leaf(node, between(6000, 20000));
  if (happens(faults_.worker_restarts)) node.worker.restart(random_());
  if (happens(faults_.partitions)) node.partitioned_until = now_ + between(500, 12000);
  if (happens(faults_.leader_changes) && leader_ != nullptr) stop_leader();
  if (happens(faults_.drains) && node.leaf != nullptr && !node.leaf->draining) {
    node.leaf->draining = true;
    node.leaf->ends_at = now_ + between(3000, 8000);
  }
}

}  // namespace winchhall::cluster::test

#include "tests/cluster/scheduler/service_simulation_leaves.hpp"
