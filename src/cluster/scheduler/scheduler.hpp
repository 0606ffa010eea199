// Schedules the tasks of one service on its leaves.
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

// Number of a batch of record changes returned by `take_changes`; increases from 1. Where it names a batch to
// wait for, 0 means that there is nothing to wait for.
using ChangeBatchNumber = std::uint64_t;

// Settings of a scheduler; they don't change during its lifetime.
struct SchedulerOptions {
  std::string service;
  Bounds bounds;
  // Duration of a leaf's execution lease, after which its runs end unless a further lease is granted. Counted
  // from the sending of the report whose answer grants the lease.
  Millis lease_duration{10000};
  // Longest time from the sending of a report by the worker-agent to its handling of the answer. A later
  // answer doesn't extend the lease.
  Millis max_report_round_trip{1000};
  // Largest number of jobs that have not ended; a submission that would exceed it is rejected.
  std::uint32_t max_live_jobs = 20000;
};

// Outcome of a submission.
struct SubmitResult {
  wire::JobOutcome outcome = wire::JOB_OUTCOME_NONE;  // JOB_OK, JOB_REJECTED or JOB_INVALID
  ChangeBatchNumber durable_after = 0;                // the client may be answered once this batch is durable
  std::string reason;                                 // human-readable; empty if the job was accepted
};

// What a service can say of a job to somebody who acts on "not known".
enum class JobKnowledge {
  known,
  unknown,    // and never accepted from a submission that is routed by an earlier configuration
  cancelled,  // unknown, and never accepted from any submission: it was cancelled while it was unknown
  undecided,  // no such promise can be made now
};
// Outcome of a cancellation, or of a lookup on which the caller acts.
struct JobLookup {
  JobKnowledge knowledge = JobKnowledge::undecided;
  ChangeBatchNumber durable_after = 0;  // the answer may be sent once this batch is durable
};

// The scheduler of one service. It exists while its owner holds the service's lease (is the leader).
//
// It does no I/O. Its input is client requests and the reports of worker-agents; its output is orders for
// leaves (`make_orders`) and changes of durable records (`take_changes`). The owner writes the changes to the
// service's replicated shard in the order of their batches and confirms them with `on_changes_durable`. A
// change that must survive a change of leader is not shown to clients and has no effect on leaves before it
// is confirmed.
//
// Guarantees, provided that at most one owner holds the service's lease in each epoch and that leaves end
// their runs when their execution lease expires:
// - a run number is used at most once per task: each epoch has its own range of numbers, which suffices for
//   4096 runs of a task by one leader;
// - a task that isn't speculative is started only when no other run of it can exist on any leaf;
// - the runs on a leaf never demand more than its capacity;
// - an end that a leaf lists is counted once, even if it is listed again to a later leader;
// - a final state that was shown to a client doesn't change.
//
// Threads: all members are called on the owner's event loop. `now` is the time of the steady clock and should
// not decrease between calls (a decrease is ignored); `wall_ms` is the machine's wall clock in milliseconds
// since 1970 and may jump.
class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Loads the records that the shard held when the lease was acquired. Must be called once, before all other
  // members. Records that can't be decoded are ignored.
  virtual void restore(const std::vector<ShardEntry>& entries, TimePoint now, std::int64_t wall_ms) = 0;

  // Submits a job. Idempotent: JOB_OK if the ID is known, whatever the spec. JOB_INVALID if the ID or the
  // spec violates a limit, JOB_REJECTED if `max_live_jobs` is reached.
  virtual SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms,
                              TimePoint now, std::int64_t wall_ms) = 0;
  // Cancels a job and orders its runs to stop. No effect on a job that has ended. If the job is
  // unknown, all later submissions of it are rejected. Idempotent.
  virtual JobLookup cancel(const std::string& id, TimePoint now, std::int64_t wall_ms) = 0;
  // Answers whether the job is known. If it isn't, later submissions of it that were routed by an earlier
  // configuration than `configuration_version` are rejected; see `rejects_submission`. Idempotent.
  virtual JobLookup confirm_unknown(const std::string& id, std::uint64_t configuration_version, TimePoint now,
                                    std::int64_t wall_ms) = 0;
  // True if a submission of the job that was routed by this configuration must be rejected, since the job was
  // unknown when that was asked for by a newer configuration. Not for a job that is known.
  virtual bool rejects_submission(const std::string& id, std::uint64_t configuration_version) const = 0;
  // The state that clients may see: a final state is returned only once it is durable, JOB_RUNNING before.
  // JOB_UNKNOWN if there is no such job.
  virtual wire::JobState state(const std::string& id) const = 0;
  // Number of jobs in a queue that have not ended.
  virtual std::uint32_t pending(const std::string& queue) const = 0;

  // Handles a report from a worker-agent. Reports may be lost, duplicated or delayed. `make_orders` makes the
  // answer.
  virtual void report(const wire::WorkerReport& report, TimePoint now, std::int64_t wall_ms) = 0;

  // Starts waiting tasks where there is capacity, preempts runs, and performs the timed work that is due.
  // Must be called after every other call and at least every 50 ms.
  virtual void plan(TimePoint now, std::int64_t wall_ms) = 0;

  // Makes the answer to a leaf's newest report: all orders above the report's `orders_received`. The caller
  // must send it, because the answer grants the leaf an execution lease and its contents count as delivered.
  virtual wire::WorkerOrders make_orders(const std::string& leaf_id, TimePoint now) = 0;
  // True if `make_orders` would return something that no earlier answer to this leaf contained.
  virtual bool has_undelivered_orders(const std::string& leaf_id) const = 0;

  struct ChangeBatch {
    ChangeBatchNumber number = 0;      // 0: no changes
    std::vector<ShardChange> changes;  // at most one per key
  };
  // Returns all changes of records since the last call.
  virtual ChangeBatch take_changes() = 0;
  // Confirms that all batches up to `number` are durable on a majority of the shard's replicas.
  virtual void on_changes_durable(ChangeBatchNumber number) = 0;

  // Returns what `UnexpectedRun` describes and was found since the last call.
  virtual std::vector<UnexpectedRun> take_unexpected_runs() = 0;

  // Statistics in one line, for the log.
  virtual std::string summary() const = 0;

  // Read-only views for operators.
  virtual SchedulerStats stats() const = 0;
  // The newest jobs first, at most `limit` of them.
  virtual JobList jobs(std::size_t limit) const = 0;
  // None if there is no such job.
  virtual std::optional<JobDetail> job(const std::string& id) const = 0;
  virtual std::vector<LeafView> leaves(TimePoint now) const = 0;
};

// `epoch` is the epoch of the service's lease and is above 0. It is the fencing token of the orders and
// determines the range of run numbers, so that they differ from those of earlier leaders. `seed` seeds the
// random choice among leaves that are equally suitable.
std::unique_ptr<Scheduler> make_scheduler(SchedulerOptions options, std::uint64_t epoch, std::uint64_t seed);

}  // namespace winchhall::cluster
