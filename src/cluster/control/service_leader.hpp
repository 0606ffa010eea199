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

// This node's part in leading one service: takes the lease of the service's shard whenever no node holds it,
// and while it holds it, runs the service's scheduler and writes its changes to the shard.
//
// Every control node has one for each service; the lease decides which of them leads. Owns the shard's handle
// and, from on_lead to on_lost, the scheduler. Single-threaded: all calls and callbacks happen on the event
// loop.
//
// Invariants:
// - Requests, reports and planning reach the scheduler only while `leads()` holds, which is checked anew each
//   time: the lease may have run out before on_lost is called.
// - Changes are written in the order in which the scheduler made them. Nothing that depends on a change (a
//   reply to a job request, an order to a leaf) leaves before that change is durable on a majority: the
//   endpoint holds replies back, the scheduler orders.
class ServiceLeader {
 public:
  // `runtime` and `group` outlive the leader.
  ServiceLeader(Runtime& runtime, ControlGroup& group, const NodeSettings& settings, std::string service);

  // Answers a job request of an agent; with JOB_NOT_LEADER where another node leads.
  void handle(const wire::JobRequest& request, const ReplyCallback& reply);
  // Answers a report of a worker-agent once there are orders, or after a short wait; with epoch 0 where
  // another node leads.
  void handle(const wire::WorkerReport& report, const ReplyCallback& reply);
  // Gives up the lease and answers all pending requests, at a graceful shutdown.
  void step_down();

  // True while this node certainly holds the lease.
  bool leads() const { return scheduler_ && shard_->leads(); }
  const std::string& service() const { return terms_.service; }
  // Null where this node doesn't lead.
  const Scheduler* scheduler() const { return leads() ? scheduler_.get() : nullptr; }
  // Counters of leases cover the time since the process started, those of the scheduler the present lease.
  ServiceStatus status() const;
  // Leaves known to the scheduler; none where this node doesn't lead.
  std::vector<LeafView> leaves() const;
  // One line of figures for the log; empty where this node doesn't lead.
  std::string summary() const;

 private:
  void start_leading(std::uint64_t epoch, const std::vector<ShardEntry>& entries);
  void stop_leading();
  Address leader_address() const;

  void schedule_planning();
  void schedule_tick();
  void plan();
  void write_changes();
  void on_changes_written(ChangeBatchNumber number, ShardWriteOutcome outcome, TimePoint sent_at);

  Runtime& runtime_;
  ControlGroup& group_;
  SchedulerOptions terms_;
  JobRequestEndpoint job_requests_;
  WorkerReportEndpoint worker_reports_;
  std::unique_ptr<ReplicatedShard> shard_;
  std::unique_ptr<Scheduler> scheduler_;  // null: not leading
  std::uint64_t epoch_ = 0;               // of the newest lease held by this node
  std::uint64_t leases_acquired_ = 0;
  std::uint64_t leases_lost_ = 0;
  DurationHistogram write_times_;
  std::unique_ptr<Timer> planning_timer_;
  std::unique_ptr<Timer> tick_timer_;
  bool planning_scheduled_ = false;
  // Rises when leading starts and when it ends, so that writes of an earlier leadership are recognized.
  std::uint64_t leadership_number_ = 0;
};

}  // namespace winchhall::cluster
