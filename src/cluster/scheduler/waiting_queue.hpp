// Stages with tasks to be placed, in the order in which they are offered room.
#pragma once

#include <map>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Order: priority, then those still of worth, then the earliest objective, then the largest hint.
class WaitingQueue {
 public:
  using Stages = std::map<QueueKey, StageInstance*>;

  void add(StageInstance& stage) {
    if (stage.queued) return;
    stages_.emplace(stage.key, &stage);
    stage.queued = true;
  }
  void remove(StageInstance& stage) {
    if (!stage.queued) return;
    stages_.erase(stage.key);
    stage.queued = false;
  }
  // Puts a stage behind all of its priority that can still be of worth.
  void set_hopeless(StageInstance& stage) {
    bool was_queued = stage.queued;
    remove(stage);
    stage.key.hopeless = true;
    if (was_queued) add(stage);
  }
  bool empty() const { return stages_.empty(); }
  const Stages& stages() const { return stages_; }

 private:
  Stages stages_;
};

}  // namespace winchhall::cluster::scheduling
