// Leads one service while this node holds the lease of its shard.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/control_group.hpp"
#include "cluster/control/job_request_endpoint.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/control/worker_report_endpoint.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster {

// Candidate for the leadership of one service on this node. Acquires the lease of the service's shard
// whenever no node holds it. While it holds the lease, it runs the service's scheduler and writes the
// scheduler's changes to the shard.
//
// Every control node has one for each service; the lease decides which of them leads. Owns the handle of the
// shard and, from on_lead to on_lost, the scheduler. Single-threaded: all calls and callbacks happen on the
// event loop.
//
// Invariants:
// - Requests, reports and planning reach the scheduler only while `leads()` is true, which is checked each
//   time because the lease may have expired before on_lost is called.
// - Changes are written in the order in which the scheduler made them. Nothing that depends on a change is
//   sent before that change is durable on a majority: JobRequestEndpoint holds back replies to job requests,
//   and the scheduler holds back orders to leaves.
class ServiceLeader {
 public:
  // `runtime` and `group` must outlive the leader.
  ServiceLeader(Runtime& runtime, ControlGroup& group, const NodeSettings& settings, std::string service);

  // Answers a job request of an agent; with JOB_NOT_LEADER if this node doesn't lead.
  void handle(const wire::JobRequest& request, const ReplyCallback& reply);
  // Answers a report of a worker-agent once there are orders, or after a short wait; with epoch 0 if this
  // node doesn't lead.
  void handle(const wire::WorkerReport& report, const ReplyCallback& reply);
  // Gives up the lease and answers all pending requests, for a graceful shutdown.
  void step_down();

  // Returns true while this node is certain to hold the lease.
  bool leads() const { return scheduler_ && shard_->leads(); }
  const std::string& service() const { return terms_.service; }
  // The scheduler; null if this node doesn't lead.
  const Scheduler* scheduler() const { return leads() ? scheduler_.get() : nullptr; }
  // The lease counters cover the time since the process started, the scheduler's counters the present lease.
  ServiceStatus status() const;
  // Leaves known to the scheduler; none if this node doesn't lead.
  std::vector<LeafView> leaves() const;
  // One line of statistics for the log; empty if this node doesn't lead.
  std::string summary() const;

 private:
  void start_leading(std::uint64_t epoch, const std::vector<ShardEntry>& entries);
  void stop_leading();
  Address leader_address() const;

  void schedule_planning();
  void schedule_tick();
  void plan();
  void write_changes();
  // Logs the runs that leaves have reported unexpectedly.
  void log_unexpected_runs();
  void on_changes_written(ChangeBatchNumber number, ShardWriteOutcome outcome, TimePoint sent_at);

  Runtime& runtime_;
  ControlGroup& group_;
  SchedulerOptions terms_;
  JobRequestEndpoint job_requests_;
  WorkerReportEndpoint worker_reports_;
  std::unique_ptr<ReplicatedShard> shard_;
  std::unique_ptr<Scheduler> scheduler_;  // null while this node doesn't lead
  std::uint64_t epoch_ = 0;               // of the newest lease held by this node
  std::uint64_t leases_acquired_ = 0;
  std::uint64_t leases_lost_ = 0;
  DurationHistogram write_times_;
  std::unique_ptr<Timer> planning_timer_;
  std::unique_ptr<Timer> tick_timer_;
  bool planning_scheduled_ = false;
  // Incremented when a leadership starts and when it ends, so that completed writes of an earlier leadership
  // are ignored.
  std::uint64_t leadership_number_ = 0;
};

}  // namespace winchhall::cluster
