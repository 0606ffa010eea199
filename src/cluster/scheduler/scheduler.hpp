// Decides, for one service, which task runs on which leaf.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/consensus/replicated_shard.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster {

// Numbers the batches given out by `take_changes`; rises from 1. As a prerequisite, 0 means that there is
// nothing to wait for.
using ChangeBatchNumber = std::uint64_t;

// Settings of a scheduler, fixed for its lifetime.
struct SchedulerOptions {
  std::string service;
  Bounds bounds;
  // Execution lease of a leaf: how long its runs may go on without a further grant, counted from the sending
  // of the report that is answered with the grant.
  Millis lease_duration{10000};
  // Longest time between the worker-agent's sending of a report and the handling of its answer that still
  // extends the lease.
  Millis max_report_round_trip{1000};
  // Jobs that have not ended; a submission beyond them is rejected.
  std::uint32_t max_live_jobs = 20000;
};

// Outcome of a submission.
struct SubmitResult {
  wire::JobOutcome outcome = wire::JOB_OUTCOME_NONE;  // JOB_OK, JOB_REJECTED or JOB_INVALID
  ChangeBatchNumber durable_after = 0;                // the client may be answered once this batch is durable
  std::string reason;                                 // of a rejection, for people
};

// Outcome of a cancellation.
struct CancelResult {
  bool found = false;
  ChangeBatchNumber durable_after = 0;  // the client may be answered once this batch is durable
};

// The scheduler of one service, for as long as its owner holds the service's lease.
//
// It does no I/O. Calls and reports go in; orders for leaves (`make_orders`) and changes of durable records
// (`take_changes`) come out. The owner writes the changes to the service's replicated shard in the order of
// their batches and confirms them with `on_changes_durable`; whatever must outlive a change of leader is
// neither shown nor acted on before that.
//
// Guarantees, as long as at most one owner has the service's lease in each epoch and leaves let their runs
// end when their execution lease expires:
// - a run number is given once per task: each epoch has a range of its own, which suffices for 4096 runs of a
//   task by one leader;
// - a task that isn't speculative is started only when no other run of it can exist on any leaf;
// - runs never demand more of a leaf than its capacity;
// - an end that a leaf lists is counted once, also when it is listed again to a later leader;
// - a final state, once shown, doesn't change.
//
// Threads: all members are called on the owner's one event loop. `now` is the steady clock and should not
// fall between calls (a fall is ignored); `wall_ms` is the machine's clock in milliseconds since 1970 and may
// jump.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Loads the records that the shard held when the lease was acquired. To be called once, before anything
  // else. Records that can't be decoded are ignored.
  virtual void restore(const std::vector<ShardEntry>& entries, TimePoint now, std::int64_t wall_ms) = 0;

  // Accepts a job. Idempotent: a known ID is JOB_OK whatever the spec. JOB_INVALID if the spec breaks a
  // limit, JOB_REJECTED if too many jobs are live.
  virtual SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms,
                              TimePoint now, std::int64_t wall_ms) = 0;
  // Cancels a job and orders its runs stopped; no effect on a job that has ended. Idempotent.
  virtual CancelResult cancel(const std::string& id, TimePoint now, std::int64_t wall_ms) = 0;
  // The state that clients may see: a final one only once it is durable. JOB_UNKNOWN if there is no such job.
  virtual wire::JobState state(const std::string& id) const = 0;
  // Number of a queue's jobs that are queued or running.
  virtual std::uint32_t pending(const std::string& queue) const = 0;

  // Handles a worker-agent's report. Reports may be lost, doubled or late. Their answer is made by
  // `make_orders`.
  virtual void report(const wire::WorkerReport& report, TimePoint now, std::int64_t wall_ms) = 0;

  // Starts waiting tasks where there is capacity, preempts, and runs whatever is due. To be called after
  // every other call and at least every 50 ms.
  virtual void plan(TimePoint now, std::int64_t wall_ms) = 0;

  // Makes the answer to a leaf's newest report: all orders above the report's `orders_received`. It grants
  // the leaf its execution lease, and what it contains counts as delivered: it has to be sent.
  virtual wire::WorkerOrders make_orders(const std::string& leaf_id, TimePoint now) = 0;
  // True if `make_orders` would contain something that no earlier answer to this leaf did.
  virtual bool has_undelivered_orders(const std::string& leaf_id) const = 0;

  // All changes of records since the last call; no changes: number 0.
  struct ChangeBatch {
    ChangeBatchNumber number = 0;
    std::vector<ShardChange> changes;  // one per key
  };
  virtual ChangeBatch take_changes() = 0;
  // All batches up to this number are durable on a majority of the shard's replicas.
  virtual void on_changes_durable(ChangeBatchNumber number) = 0;

  // One line of statistics for the log.
  virtual std::string summary() const = 0;

  // For operators; copies, and none of these changes anything.
  virtual SchedulerStats stats() const = 0;
  // The newest jobs, at most `limit` of them.
  virtual JobList jobs(std::size_t limit) const = 0;
  // None if there is no such job.
  virtual std::optional<JobDetail> job(const std::string& id) const = 0;
  virtual std::vector<LeafView> leaves(TimePoint now) const = 0;
};

// `epoch`: of the service's lease, above 0; it is the fencing token of the orders and keeps run numbers apart
// from those of earlier leaders. `seed`: for breaking ties among leaves.
std::unique_ptr<Scheduler> make_scheduler(SchedulerOptions options, std::uint64_t epoch, std::uint64_t seed);

}  // namespace winchhall::cluster
