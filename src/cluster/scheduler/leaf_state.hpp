// A leaf as one scheduler knows it: what it has, what may exist on it, what it was told.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/job.hpp"
#include "cluster/scheduler/leaf_health.hpp"
#include "cluster/scheduler/priority_usage.hpp"

namespace winchhall::cluster::scheduling {

using Revision = std::uint64_t;

// A run that may exist on a leaf, from its order until its end is listed or it is certainly not there.
struct Run {
  std::string name;
  RunNumber number = 0;
  Leaf* leaf = nullptr;
  Job* job = nullptr;              // none: unknown
  StageInstance* stage = nullptr;  // none: unknown, or no longer kept
  Task* task = nullptr;            // none: the task no longer counts on this run
  Resources demand;
  bool demand_known = true;
  std::uint32_t priority = 0;  // of its job's queue; meaningless while the demand is unknown
  double cost = 0;
  Revision start_revision = 0;  // 0: found on the leaf
  Revision stop_revision = 0;   // 0: no stop ordered
  bool told = false;            // the start was handed out, or it was found on the leaf
  bool listed = false;          // the leaf has listed it as running
  std::uint64_t generation = 0;
  TimePoint ordered_at;
  TimePoint listed_at;
  TimePoint moved_at;  // when `percent` last changed
  std::uint32_t percent = 0;
};

struct RunKeyView {
  std::string_view task;
  RunNumber run = 0;
};
struct RunKey {
  std::string task;
  RunNumber run = 0;
  operator RunKeyView() const { return {task, run}; }
};
struct RunKeyHash {
  using is_transparent = void;
  std::size_t operator()(RunKeyView key) const {
    return std::hash<std::string_view>()(key.task) ^ (key.run * 0x9e3779b9u);
  }
};
struct RunKeyEqual {
  using is_transparent = void;
  bool operator()(RunKeyView a, RunKeyView b) const { return a.run == b.run && a.task == b.task; }
};
using RunMap = std::unordered_map<RunKey, Run, RunKeyHash, RunKeyEqual>;

// The newest lists that a leaf's worker-agent reported.
struct ReportedTaskLists {
  bool known = false;
  std::uint64_t session = 0;
  std::uint64_t report_number = 0;
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
};

// An end whose effects are not known to be durable.
struct UnacknowledgedEnd {
  std::uint64_t number = 0;
  ChangeBatchNumber durable_after = 0;
};

struct Leaf {
  std::string id;
  std::string node;
  Resources capacity;
  Resources reserved;
  PriorityUsage use;  // of `reserved`, what is known by priority
  std::vector<std::string> labels;
  std::string rack;
  bool draining = false;
  bool left = false;
  TimePoint left_at;
  std::uint32_t remaining_ms = 0;  // as of `reported_at`

  bool reported = false;
  TimePoint reported_at;
  std::uint32_t heartbeat_age_ms = 0;  // as of `reported_at`
  std::uint64_t session = 0;
  std::uint64_t report_number = 0;
  Revision received = 0;  // of this epoch
  Revision settled = 0;
  ReportedTaskLists lists;
  bool adopted = false;   // its lists were taken in under this epoch
  bool restored = false;  // may run what an earlier leader ordered

  Revision revision = 0;
  Revision told = 0;
  std::deque<wire::StartOrder> starts;  // not settled, by revision
  std::deque<wire::StopOrder> stops;
  std::uint64_t processed_ends = 0;
  std::uint64_t last_seen = 0;
  std::uint64_t delivered_last_seen = 0;
  std::deque<UnacknowledgedEnd> unacknowledged_ends;
  TimePoint lease_expires_at;  // nothing runs on after this unless a hold is granted
  bool lists_wanted = false;
  bool epoch_delivered = false;  // its worker-agent's process had an answer

  bool recorded = false;  // its record is written
  ChangeBatchNumber record_change = 0;
  RunMap runs;
  std::uint32_t unknown_runs = 0;  // whose demand is unknown
  std::uint64_t generation = 0;
  double cost = 0;
  LeafHealth health;
  const StageInstance* reserved_for = nullptr;  // leaf is kept free for this stage
  TimePoint reserved_until;

  Resources free() const { return capacity.without(reserved); }
};

}  // namespace winchhall::cluster::scheduling
