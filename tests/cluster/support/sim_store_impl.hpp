// The store of a simulated node. Included by sim_runtime.hpp only.
#pragma once

namespace winchhall::cluster::sim {

inline void SimStore::commit(StoreBatch batch, std::function<void(CommitOutcome)> done) {
  Simulation& simulation = node_.simulation_;
  const std::int64_t start_us = std::max(busy_until_us_, simulation.now_us());
  // Pending batches may share one sync. All batches issued while the disk hangs share one.
  const bool hangs = simulation.now_us() < hangs_until_us_;
  const bool shares_sync = hangs || (busy_until_us_ > simulation.now_us() && simulation.chance(0.5));
  busy_until_us_ = start_us + (shares_sync ? 1
                                           : simulation.random_between(simulation.options().sync_min_us,
                                                                       simulation.options().sync_max_us));
  unsynced_.push_back(std::move(batch));
  node_.simulation_.at(
      busy_until_us_, [this, incarnation = node_.incarnation_, done = std::move(done)]() mutable {
        if (!node_.running_ || incarnation != node_.incarnation_) return;
        const StoreBatch oldest = std::move(unsynced_.front());
        unsynced_.pop_front();
        const bool refused = node_.refuse_writes_;
        if (!refused || node_.simulation_.chance(0.5)) apply(oldest);
        const CommitOutcome outcome = refused ? CommitOutcome::failed : CommitOutcome::durable;
        node_.run_at(node_.simulation_.now_us(), [done = std::move(done), outcome] { done(outcome); });
      });
}

inline void SimStore::crash() {
  for (const StoreBatch& batch : unsynced_) {
    if (node_.simulation_.chance(0.5)) apply(batch);
  }
  unsynced_.clear();
  busy_until_us_ = 0;
  hangs_until_us_ = 0;
}

}  // namespace winchhall::cluster::sim
