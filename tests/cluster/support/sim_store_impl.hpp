// The disk of a simulated machine. Included by sim_runtime.hpp only.
#pragma once

namespace winchhall::cluster::sim {

inline void SimStore::commit(StoreBatch batch, std::function<void(CommitOutcome)> done) {
  SimWorld& world = node_.world_;
  const std::int64_t start_us = std::max(busy_until_us_, world.now_us());
  // Batches that wait together are synced together; all of them where the disk hangs.
  const bool hangs = world.now_us() < hangs_until_us_;
  const bool joins = hangs || (busy_until_us_ > world.now_us() && world.chance(0.5));
  busy_until_us_ =
      start_us + (joins ? 1 : world.random_between(world.terms().sync_min_us, world.terms().sync_max_us));
  unsynced_.push_back(std::move(batch));
  node_.world_.at(busy_until_us_, [this, life = node_.life_, done = std::move(done)]() mutable {
    if (!node_.running_ || life != node_.life_) return;
    const StoreBatch oldest = std::move(unsynced_.front());
    unsynced_.pop_front();
    const bool refused = node_.refuse_writes_;
    if (!refused || node_.world_.chance(0.5)) apply(oldest);
    const CommitOutcome outcome = refused ? CommitOutcome::failed : CommitOutcome::durable;
    node_.run_at(node_.world_.now_us(), [done = std::move(done), outcome] { done(outcome); });
  });
}

inline void SimStore::crash() {
  for (const StoreBatch& batch : unsynced_) {
    if (node_.world_.chance(0.5)) apply(batch);
  }
  unsynced_.clear();
  busy_until_us_ = 0;
  hangs_until_us_ = 0;
}

}  // namespace winchhall::cluster::sim
