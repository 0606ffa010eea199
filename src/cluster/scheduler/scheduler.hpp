// Decides for one service which task runs where. No I/O: reports and calls go in, orders and records come
// out.
//
// The holder of the service's lease owns one Scheduler for as long as it leads. Everything that must outlive
// the holder leaves as changes of records (`take_changes`), and whatever depends on them waits until the
// caller says that they are durable (`on_changes_durable`).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/consensus/replicated_shard.hpp"
#include "cluster/scheduler/scheduler_views.hpp"

namespace winchhall::cluster {

// Number of a set of changes given to `take_changes`; rises from 1. Zero: nothing to wait for.
using ChangeBatchNumber = std::uint64_t;

// Terms under which a scheduler works.
struct SchedulerTerms {
  std::string service;
  Bounds bounds;
  Millis lease_duration{10000};  // how long a leaf may hold what runs, from the sending of a report
  Millis answer_slack{1000};     // an answer to a heartbeat counts this long after it was sent at most
};

// What becomes of a submitted job.
struct SubmitResult {
  wire::JobOutcome outcome = wire::JOB_OUTCOME_NONE;  // JOB_OK, JOB_REJECTED or JOB_INVALID
  ChangeBatchNumber durable_after = 0;                // answer once these changes are durable
  std::string reason;
};

struct CancelResult {
  bool found = false;
  ChangeBatchNumber durable_after = 0;
};

class Scheduler {
 public:
  virtual ~Scheduler() = default;

  // Takes up the records that the shard held when the lease was got. Called once, before anything else.
  virtual void restore(const std::vector<ShardEntry>& entries, TimePoint now, std::int64_t wall_ms) = 0;

  // A job handed in; the same ID again is the same job. A job that JOB_OK is answered for is durable with
  // `durable_after`.
  virtual SubmitResult submit(const std::string& id, const wire::JobSpec& spec, const wire::QueueTerms& terms,
                              TimePoint now, std::int64_t wall_ms) = 0;
  virtual CancelResult cancel(const std::string& id, TimePoint now, std::int64_t wall_ms) = 0;
  // The state that may be shown: `completed`, `failed` and `canceled` only once durable. JOB_UNKNOWN: no such
  // job.
  virtual wire::JobState state(const std::string& id) const = 0;
  // Jobs of a queue that are queued or running.
  virtual std::uint32_t pending(const std::string& queue) const = 0;

  // What a worker-agent says of its leaf. The answer is asked for with `orders`.
  virtual void report(const wire::WorkerReport& report, TimePoint now, std::int64_t wall_ms) = 0;

  // Places what can be placed and orders stops that are due; to be called after every change and at least
  // every 50 ms.
  virtual void plan(TimePoint now, std::int64_t wall_ms) = 0;

  // The answer to the newest report of a leaf: all orders with a revision above the report's
  // `orders_received`. Granting a hold is noted: the leaf may run on for `grant` from now.
  virtual wire::WorkerOrders orders(const std::string& leaf_id, TimePoint now) = 0;
  // True if `orders` would tell the leaf something it has not been told yet.
  virtual bool has_undelivered_orders(const std::string& leaf_id) const = 0;

  // All changes of records since the last call, with their number; empty: none.
  struct ChangeBatch {
    ChangeBatchNumber number = 0;
    std::vector<ShardChange> changes;
  };
  virtual ChangeBatch take_changes() = 0;
  // All changes up to this number are durable on a majority.
  virtual void on_changes_durable(ChangeBatchNumber number) = 0;

  // One line of figures for logs.
  virtual std::string summary() const = 0;

  // For operators; none of these changes anything.
  virtual SchedulerStats stats() const = 0;
  virtual JobList jobs(std::size_t limit) const = 0;
  // None: no such job.
  virtual std::optional<JobDetail> job(const std::string& id) const = 0;
  virtual std::vector<LeafView> leaves(TimePoint now) const = 0;
};

// `epoch` of the lease: becomes the fencing token and keeps run numbers apart from those of earlier holders.
std::unique_ptr<Scheduler> make_scheduler(SchedulerTerms terms, std::uint64_t epoch, std::uint64_t seed);

}  // namespace winchhall::cluster
