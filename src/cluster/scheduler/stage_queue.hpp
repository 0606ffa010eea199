// Stages with tasks to be placed, in the order in which they are offered room.
#pragma once

#include <algorithm>
#include <map>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Order: priority, then what can still be earned, then the earliest time to start by, then the largest hint.
class StageQueue {
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
  // Puts a stage behind all of its priority that can earn more, once it is too late for it.
  void update_deadline_status(StageInstance& stage, TimePoint now) {
    DeadlineStatus outlook = stage.key.outlook;
    if (now > stage.late_after) outlook = std::max(outlook, DeadlineStatus::late);
    if (now > stage.worthless_after) outlook = DeadlineStatus::none;
    if (outlook == stage.key.outlook) return;
    bool was_queued = stage.queued;
    remove(stage);
    stage.key.outlook = outlook;
    if (was_queued) add(stage);
  }
  bool empty() const { return stages_.empty(); }
  const Stages& stages() const { return stages_; }

 private:
  Stages stages_;
};

}  // namespace winchhall::cluster::scheduling
