// The simulated service's own steps.
#pragma once

#include "tests/cluster/scheduler/scheduler_sim.hpp"

namespace winchhall::cluster::test {

inline constexpr Ms kStep = 5;
inline constexpr Ms kStateEvery = 100;

inline SchedulerSim::SchedulerSim(std::uint64_t seed, std::size_t leaves, SimTroubles troubles)
    : random_(seed), troubles_(troubles) {
  checker_.calm = !troubles.any();
  for (std::size_t i = 0; i < leaves; ++i) {
    auto& node = *nodes_.emplace_back(std::make_unique<Node>());
    node.worker.node = "node-" + std::to_string(i);
    node.worker.session = random_();
    new_leaf(node);
  }
  lead();
}

inline void SchedulerSim::new_leaf(Node& node) {
  auto& leaf = *leaves_.emplace_back(std::make_unique<SimLeaf>());
  leaf.id = "i-" + std::to_string(next_leaf_++);
  std::size_t place = std::stoul(node.worker.node.substr(5));
  leaf.capacity = place % 3 == 2 ? Resources{16000, 16384, 4} : Resources{8000, 8192, 0};
  leaf.labels = {place % 3 == 2 ? "g" : "a", "r-" + std::to_string(place / 3)};
  leaf.slow_clock = 1 + chance() * 0.02;
  node.leaf = &leaf;
  node.next_heartbeat = now_ + between(5, 100);
}

inline void SchedulerSim::kill_leaf(Node& node) {
  std::string id = node.leaf->id;
  for (auto& end : node.leaf->unnoted) end->noted = false;
  std::erase_if(leaves_, [&](const auto& leaf) { return leaf->id == id; });
  node.leaf = nullptr;
  node.back_at = now_ + between(200, 3000);
}

inline void SchedulerSim::lead() {
  SchedulerTerms terms;
  terms.service = "s";
  terms.bounds = checker_.bounds;
  terms.lease_duration = Millis(4000);
  leader_ = make_scheduler(terms, ++epoch_, random_());
  std::vector<ShardEntry> entries;
  for (const auto& [key, value] : disk_) entries.push_back({key, value});
  leader_->restore(entries, time(), now_);
}

inline void SchedulerSim::lose_leader() {
  leader_.reset();
  // What was under way is there up to some point, or not.
  bool there = true;
  for (Write& write : writes_) {
    there = there && chance() < 0.5;
    if (!there) break;
    for (ShardChange& change : write.changes.changes)
      if (change.value)
        disk_[change.key] = *change.value;
      else
        disk_.erase(change.key);
  }
  writes_.clear();
  for (auto& node : nodes_) node->answer_by = -1;
  at(now_ + between(200, 2500), [this] { lead(); });
}

inline void SchedulerSim::flush() {
  Scheduler::ChangeBatch changes = leader_->take_changes();
  if (changes.number == 0) return;
  writes_.push_back({epoch_, std::move(changes)});
  std::uint64_t number = writes_.back().changes.number;
  at(now_ + between(3, 20), [this, epoch = epoch_, number] {
    if (leader_ == nullptr || epoch != epoch_) return;
    while (!writes_.empty() && writes_.front().changes.number <= number) {
      for (ShardChange& change : writes_.front().changes.changes)
        if (change.value)
          disk_[change.key] = *change.value;
        else
          disk_.erase(change.key);
      writes_.pop_front();
    }
    leader_->on_changes_durable(number);
  });
}

inline void SchedulerSim::submit(SimJob job) {
  std::string id = job.id;
  if (!checker_.jobs.contains(id)) {
    job.submitted_at = now_;
    checker_.jobs[id] = std::move(job);
  }
  SimJob& kept = checker_.jobs[id];
  if (kept.accepted_at >= 0) return;
  at(now_ + 400, [this, id] { submit(checker_.jobs[id]); });
  if (leader_ == nullptr) return;
  SubmitResult result = leader_->submit(id, kept.spec, kept.terms, time(), now_);
  if (result.outcome != wire::JOB_OK) checker_.log.fail("SUBMIT", result.reason, now_);
  flush();
  auto answer = std::make_shared<std::function<void()>>();
  *answer = [this, id, epoch = epoch_, number = result.durable_after, answer] {
    if (epoch != epoch_ || leader_ == nullptr) return;
    bool durable = number == 0 || writes_.empty() || writes_.front().changes.number > number;
    if (durable && checker_.jobs[id].accepted_at < 0) checker_.jobs[id].accepted_at = now_;
    if (!durable) at(now_ + 5, *answer);
  };
  at(now_ + 5, *answer);
}

inline void SchedulerSim::cancel(const std::string& id) {
  SimJob& job = checker_.jobs[id];
  if (job.cancelled_at >= 0) return;
  at(now_ + 400, [this, id] { cancel(id); });
  if (leader_ == nullptr || job.accepted_at < 0) return;
  job.cancel_sent = true;
  CancelResult result = leader_->cancel(id, time(), now_);
  flush();
  auto answer = std::make_shared<std::function<void()>>();
  *answer = [this, id, epoch = epoch_, number = result.durable_after, answer] {
    if (epoch != epoch_ || leader_ == nullptr) return;
    bool durable = number == 0 || writes_.empty() || writes_.front().changes.number > number;
    if (durable && checker_.jobs[id].cancelled_at < 0) checker_.jobs[id].cancelled_at = now_;
    if (!durable) at(now_ + 5, *answer);
  };
  at(now_ + 5, *answer);
}

inline void SchedulerSim::run_until(Ms time_limit) {
  while (now_ < time_limit && checker_.log.broken.empty()) step();
}

inline void SchedulerSim::step() {
  now_ += kStep;
  while (!events_.empty() && events_.top().at <= now_) {
    auto action = events_.top().action;
    events_.pop();
    action();
  }
  if (now_ < busy_until) make_trouble();
  for (auto& leaf : leaves_) step_leaf(*leaf);
  for (auto& node : nodes_) {
    if (node->leaf == nullptr && now_ >= node->back_at) new_leaf(*node);
    if (node->leaf != nullptr && now_ >= node->next_heartbeat) heartbeat(*node);
    if (node->worker.leaf_id.empty() ? false : (node->worker.news || now_ >= node->worker.next_report))
      report(*node);
  }
  if (leader_ == nullptr) return;
  leader_->plan(time(), now_);
  flush();
  for (auto& node : nodes_)
    if (node->answer_by >= 0 &&
        (now_ >= node->answer_by || leader_->has_undelivered_orders(node->worker.leaf_id)))
      answer(*node);
  if (now_ % kStateEvery == 0) show_states();
}

inline void SchedulerSim::show_states() {
  for (auto& [id, job] : checker_.jobs) {
    wire::JobState state = leader_->state(id);
    checker_.on_shown(job, state, now_);
  }
}

inline bool SchedulerSim::all_ended() const {
  for (const auto& [id, job] : checker_.jobs)
    if (job.shown_at < 0) return false;
  return true;
}

inline void SchedulerSim::make_trouble() {
  double step_seconds = static_cast<double>(kStep) / 1000;
  auto happens = [&](double rate) { return rate > 0 && chance() < rate * step_seconds; };
  Node& node = *nodes_[static_cast<std::size_t>(between(0, static_cast<Ms>(nodes_.size()) - 1))];
  if (happens(troubles_.leaf_crashes) && node.leaf != nullptr) kill_leaf(node);
  if (happens(troubles_.worker_restarts)) node.worker.restart(random_());
  if (happens(troubles_.cuts)) node.cut_until = now_ + between(500, 12000);
  if (happens(troubles_.leader_changes) && leader_ != nullptr) lose_leader();
  if (happens(troubles_.drains) && node.leaf != nullptr && !node.leaf->draining) {
    node.leaf->draining = true;
    node.leaf->ends_at = now_ + between(3000, 8000);
  }
}

}  // namespace winchhall::cluster::test

#include "tests/cluster/scheduler/scheduler_sim_leaves.hpp"
