// State of one leaf at the leader of its service: its capacity, the runs that may exist there, its orders.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cluster/common/leaf_protocol.hpp"
#include "cluster/scheduler/leaf_health.hpp"
#include "cluster/scheduler/run.hpp"

namespace winchhall::cluster::scheduling {

// The newest lists of running and finished tasks that the worker-agent sent for its leaf. A report whose
// lists haven't changed refers to them instead of repeating them.
struct ReportedTaskLists {
  bool available = false;
  std::uint64_t session = 0;        // session of the report that contained them
  std::uint64_t report_number = 0;  // number of that report
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;

  // True if runs may have ended without being listed: a run that is in neither list isn't lost.
  bool may_lack_ends() const { return finished.size() >= kMaxFinishedListed; }
};

// A reported end that the leaf must continue to list, because its effects may not be durable yet.
struct UnacknowledgedEnd {
  std::uint64_t number = 0;  // number of the end on its leaf
  ChangeBatchNumber durable_after = 0;
};

// One incarnation of a leaf: a leaf process that restarts has a new ID and a new Leaf.
//
// Orders to the leaf are numbered by revision. Invariant: `issued_revision` >= `delivered_revision` >=
// `received_revision` >= `applied_revision`. The last three decrease when a new worker-agent process reports,
// since its predecessor's orders are lost; the last two are 0 while the process has not adopted this leader's
// epoch.
struct Leaf {
  std::string id;
  std::string node;  // name of the node that it runs on
  Resources capacity;
  Resources allocated;  // sum of the known demands of `runs`
  std::vector<std::string> labels;
  std::string rack;  // the last label; empty: none
  bool draining = false;
  bool deregistered = false;
  TimePoint deregistered_at;
  std::uint32_t drain_remaining_ms = 0;  // time until the draining leaf ends, as of `reported_at`

  bool reported = false;  // this leader has handled a report of the leaf
  TimePoint reported_at;
  std::uint32_t heartbeat_age_ms = 0;  // age of its newest heartbeat as of `reported_at`
  std::uint64_t session = 0;           // worker-agent process that sent the newest report
  std::uint64_t report_number = 0;     // number of the newest report
  ReportedTaskLists task_lists;
  bool synchronized = false;  // complete lists were reconciled in this epoch, so its runs are known

  Revision issued_revision = 0;                 // newest order
  Revision delivered_revision = 0;              // newest order contained in an answer to the worker-agent
  Revision received_revision = 0;               // newest order that the worker-agent has confirmed
  Revision applied_revision = 0;                // the leaf's lists reflect all orders up to this one
  std::deque<wire::StartOrder> pending_starts;  // orders that are not applied, by revision
  std::deque<wire::StopOrder> pending_stops;    // orders that are not applied, by revision
  bool lists_requested = false;                 // the next answer asks the worker-agent for the lists
  bool epoch_delivered = false;                 // this session has received an answer of this leader

  std::uint64_t processed_end = 0;  // highest number of an end whose effects were applied
  // Highest number of an end whose effects are durable, so that the leaf may drop it.
  std::uint64_t acknowledged_end = 0;
  std::uint64_t delivered_acknowledged_end = 0;       // value of `acknowledged_end` in the newest answer
  std::deque<UnacknowledgedEnd> unacknowledged_ends;  // processed ends, by number

  // End of the latest execution lease that this leader or its predecessor may have granted. Unless a further
  // lease is granted, all runs on the leaf have ended by then, even if its clock is slow.
  TimePoint lease_expires_at;

  bool has_record = false;             // its record is written or being written
  ChangeBatchNumber record_batch = 0;  // batch that contains its record

  RunMap runs;                                 // runs that may exist there
  std::uint32_t runs_with_unknown_demand = 0;  // how many of `runs`
  std::uint64_t report_generation = 0;         // incremented by each reconciliation
  double load_ms = 0;                          // sum of the estimated durations of `runs`
  LeafHealth health;

  const StageInstance* reserved_for = nullptr;  // stage that it is reserved for until `reserved_until`
  TimePoint reserved_until;

  Resources available() const { return capacity.without(allocated); }
};

}  // namespace winchhall::cluster::scheduling
