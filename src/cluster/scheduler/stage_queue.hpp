// The queue of stages that have tasks to be placed.
#pragma once

#include <algorithm>
#include <map>

#include "cluster/scheduler/job.hpp"

namespace winchhall::cluster::scheduling {

// Sorts stages by their QueueKey. Maintains `StageInstance::queued`; the key of a queued stage may be changed
// only by `update_deadline_status`. Stages are not owned and must be removed before they are destroyed.
class StageQueue {
 public:
  using Stages = std::map<QueueKey, StageInstance*>;

  // No effect if the stage is queued.
  void add(StageInstance& stage) {
    if (stage.queued) return;
    stages_.emplace(stage.key, &stage);
    stage.queued = true;
  }
  // No effect if the stage isn't queued.
  void remove(StageInstance& stage) {
    if (!stage.queued) return;
    stages_.erase(stage.key);
    stage.queued = false;
  }
  // Moves a stage that has become late or worthless behind those of its priority that have not. A status
  // never returns to an earlier one.
  void update_deadline_status(StageInstance& stage, TimePoint now) {
    DeadlineStatus status = stage.key.deadline_status;
    if (now > stage.late_after) status = std::max(status, DeadlineStatus::late);
    if (now > stage.worthless_after) status = DeadlineStatus::worthless;
    if (status == stage.key.deadline_status) return;
    bool was_queued = stage.queued;
    remove(stage);
    stage.key.deadline_status = status;
    if (was_queued) add(stage);
  }
  bool empty() const { return stages_.empty(); }
  // In the order of placement.
  const Stages& stages() const { return stages_; }

 private:
  Stages stages_;
};

}  // namespace winchhall::cluster::scheduling
