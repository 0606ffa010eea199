// Leads one service while this node holds its lease: job requests and worker reports in, orders and records
// out.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/control_group.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster {

// Name of the shard that keeps a service's records.
std::string shard_of_service(const std::string& service);
// The services among shards.
std::vector<std::string> services_of(const std::vector<std::string>& shards);

class ServiceLeader {
 public:
  ServiceLeader(Runtime& runtime, ControlGroup& group, const NodeSettings& settings, std::string service);

  // Answers a request of an agent; JOB_NOT_LEADER where another node leads.
  void handle(const wire::JobRequest& request, const ReplyCallback& reply);
  // Answers a report of a worker-agent once there are orders, or after a short wait.
  void handle(const wire::WorkerReport& report, const ReplyCallback& reply);
  // Gives up the lease, for a planned end of the process.
  void step_down();

  bool leads() const { return scheduler_ && shard_->leads(); }
  const std::string& service() const { return terms_.service; }
  // Null: not led here.
  const Scheduler* scheduler() const { return leads() ? scheduler_.get() : nullptr; }
  ServiceStatus status() const;
  // Leaves known to the scheduler; none where another node leads.
  std::vector<LeafView> leaves() const;
  // One line of figures; empty: another node leads.
  std::string summary() const;

 private:
  // An answer that waits until changes of records are durable.
  struct PendingJobReply {
    ChangeBatchNumber durable_after = 0;
    wire::JobReply answer;
    ReplyCallback reply;
  };
  // A report whose answer is held back until there are orders.
  struct PendingReport {
    ReplyCallback reply;
    TimePoint answer_by;
    std::uint64_t report_number = 0;
    std::string leaf_id;
  };

  void start_leading(std::uint64_t epoch, const std::vector<ShardEntry>& entries);
  void stop_leading();

  void submit(const wire::JobRequest& request, const ReplyCallback& reply);
  void cancel(const wire::JobRequest& request, const ReplyCallback& reply);
  void query(const wire::JobRequest& request, const ReplyCallback& reply);
  void answer_when_durable(ChangeBatchNumber number, wire::JobReply answer, const ReplyCallback& reply);
  void answer_not_leader(const ReplyCallback& reply) const;

  void park(const wire::WorkerReport& report, const ReplyCallback& reply);
  void answer_report(const PendingReport& parked);
  void answer_due_reports();

  void log_delivered_orders(const wire::WorkerOrders& orders) const;

  void schedule_step();
  void step();
  void schedule_tick();
  void write_changes();
  void changes_written(ChangeBatchNumber number, ShardWriteOutcome outcome, TimePoint sent_at);
  void release_waiting_answers(ChangeBatchNumber durable);

  Runtime& runtime_;
  ControlGroup& group_;
  SchedulerTerms terms_;
  std::unique_ptr<ReplicatedShard> shard_;
  std::unique_ptr<Scheduler> scheduler_;
  std::vector<PendingJobReply> waiting_;
  std::uint64_t epoch_ = 0;  // of the newest lease held here
  std::uint64_t leases_acquired_ = 0;
  std::uint64_t leases_lost_ = 0;
  DurationHistogram write_times_;
  std::map<std::string, PendingReport> pending_reports_;  // by node name
  std::unique_ptr<Timer> step_timer_;
  std::unique_ptr<Timer> tick_timer_;
  bool step_due_ = false;
  std::uint64_t generation_ = 0;  // tells callbacks of an earlier leadership apart
};

}  // namespace winchhall::cluster
