// What the leader of a service knows of one leaf: its capacity, what may run there, which orders it has.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "cluster/scheduler/leaf_health.hpp"
#include "cluster/scheduler/run.hpp"

namespace winchhall::cluster::scheduling {

// The newest lists of running and finished tasks that a worker-agent sent of its leaf. Reports whose lists
// haven't changed refer to them instead of repeating them.
struct ReportedTaskLists {
  bool available = false;
  std::uint64_t session = 0;        // of the report that contained them
  std::uint64_t report_number = 0;  // of that report
  std::vector<wire::RunningTask> running;
  std::vector<wire::FinishedTask> finished;
};

// A reported end that the leaf must go on listing, because its effects may not be durable yet.
struct UnacknowledgedEnd {
  std::uint64_t number = 0;  // of the end on its leaf
  ChangeBatchNumber durable_after = 0;
};

// One incarnation of a leaf: a leaf process that starts anew has a new ID and a new Leaf.
//
// Orders to the leaf are numbered by revision. Invariant:
// `issued_revision` >= `delivered_revision` >= `received_revision` >= `applied_revision`. The last three fall
// when a new process of the worker-agent reports, as it has lost its orders; the last two are 0 while the
// process has not adopted this leader's epoch.
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
  std::uint32_t drain_remaining_ms = 0;  // until it leaves, as of `reported_at`

  bool reported = false;  // a report was handled under this leader
  TimePoint reported_at;
  std::uint32_t heartbeat_age_ms = 0;  // as of `reported_at`
  std::uint64_t session = 0;           // of the newest report's worker-agent process
  std::uint64_t report_number = 0;     // of the newest report
  ReportedTaskLists task_lists;
  bool synchronized = false;  // its lists were reconciled under this epoch: what runs there is known

  Revision issued_revision = 0;                 // the newest order
  Revision delivered_revision = 0;              // contained in an answer to the worker-agent
  Revision received_revision = 0;               // confirmed by the worker-agent
  Revision applied_revision = 0;                // reflected in the leaf's lists
  std::deque<wire::StartOrder> pending_starts;  // not applied, by revision
  std::deque<wire::StopOrder> pending_stops;    // not applied, by revision
  bool lists_requested = false;                 // the next answer asks the worker-agent for the lists
  bool epoch_delivered = false;                 // this session has had an answer of this leader

  std::uint64_t processed_ends = 0;              // highest number of an end whose effects were applied
  std::uint64_t acknowledged_end = 0;            // highest whose effects are durable: the leaf may drop it
  std::uint64_t delivered_acknowledged_end = 0;  // as in the newest answer
  std::deque<UnacknowledgedEnd> unacknowledged_ends;  // processed, in order

  // End of the newest execution lease that this leader, or the one before, may have granted. Without another,
  // everything on the leaf has ended by then, whatever the drift of its clock.
  TimePoint lease_expires_at;

  bool has_record = false;             // its record is written or being written
  ChangeBatchNumber record_batch = 0;  // that contains its record

  RunMap runs;                          // that may exist there
  std::uint32_t unknown_runs = 0;       // of `runs`, those whose demand is unknown
  std::uint64_t report_generation = 0;  // rises with each reconciliation
  double load_ms = 0;                   // sum of the estimated durations of `runs`
  LeafHealth health;

  const StageInstance* reserved_for = nullptr;  // is kept free for this stage until `reserved_until`
  TimePoint reserved_until;

  Resources available() const { return capacity.without(allocated); }
};

}  // namespace winchhall::cluster::scheduling
