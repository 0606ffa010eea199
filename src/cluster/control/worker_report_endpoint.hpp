// Answers worker-agents' reports with the orders of a service's scheduler, as long polls.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/scheduler/scheduler.hpp"

namespace winchhall::cluster {

// The worker reports of one service while this node leads it: a report takes effect at once, and its reply is
// held back until there are orders for the leaf or a maximum time (0.3 s) is over.
//
// Owns the replies that are held back, at most one for each worker node. The scheduler belongs to the caller,
// which passes it in only while it holds the lease. Single-threaded.
class WorkerReportEndpoint {
 public:
  // `runtime` outlives the endpoint.
  WorkerReportEndpoint(Runtime& runtime, std::string service)
      : runtime_(runtime), service_(std::move(service)) {}

  // Gives a report to the scheduler, which must plan afterwards. A reply that is still held back for the same
  // node is sent.
  void handle(Scheduler& scheduler, const wire::WorkerReport& report, const ReplyCallback& reply);
  // Replies to the reports whose leaves have undelivered orders or whose time is over. Called after each
  // planning.
  void answer_due_reports(Scheduler& scheduler);
  // Replies to all reports without orders. `leader`: address of the new leader; empty: not known. Called when
  // the lease is lost.
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
