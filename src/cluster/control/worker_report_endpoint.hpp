// Answers worker-agents' reports with the orders of a service's scheduler, as long polls.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster {

// Handles the worker reports of one service while this node leads it. A report takes effect at once. Its
// reply is held back until there are orders for the leaf or the maximum wait (0.3 s) is over.
//
// Owns the replies that are held back, at most one for each worker node. The scheduler belongs to the caller,
// which passes it in only while it holds the lease. Single-threaded.
class WorkerReportEndpoint {
 public:
  // `runtime` must outlive the endpoint.
  WorkerReportEndpoint(Runtime& runtime, std::string service)
      : runtime_(runtime), service_(std::move(service)) {}

  // Passes a report to the scheduler, which must plan afterwards. Sends the reply that may still be held back
  // for an earlier report of the same node.
  void handle(Scheduler& scheduler, const wire::WorkerReport& report, const ReplyCallback& reply);
  // Replies to the reports whose leaves have undelivered orders or whose wait is over. Called after each
  // planning.
  void answer_due_reports(Scheduler& scheduler);
  // Replies to all held back reports without orders. `leader` is the address of the new leader, empty if
  // unknown. Called when the lease is lost.
  void redirect_all(const Address& leader);

 private:
  struct PendingReport {
    ReplyCallback reply;
    TimePoint deadline;
    std::uint64_t report_number = 0;
    std::string leaf_id;
  };

  void answer(Scheduler& scheduler, const PendingReport& report) const;
  void log_delivered_orders(const wire::WorkerOrders& orders) const;

  Runtime& runtime_;
  const std::string service_;
  std::map<std::string, PendingReport> pending_reports_;  // by node name
};

}  // namespace winchhall::cluster
