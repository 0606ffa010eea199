// Makes the answers to worker-agents' reports.
#pragma once

#include <string>

#include "cluster/scheduler/scheduler_state.hpp"

namespace winchhall::cluster::scheduling {

// Delivers orders, grants execution leases and acknowledges ends. Every answer repeats all orders that the
// worker-agent has not yet confirmed as received.
class OrderResponder {
 public:
  explicit OrderResponder(SchedulerState& state) : state_(state) {}

  // See Scheduler::make_orders.
  wire::WorkerOrders make_orders(const std::string& leaf_id);
  // See Scheduler::has_undelivered_orders.
  bool has_undelivered_orders(const std::string& leaf_id) const;

 private:
  // Grants the leaf an execution lease, unless its heartbeats have stopped.
  void grant_lease(Leaf& leaf, wire::WorkerOrders& orders) const;
  void add_orders(Leaf& leaf, wire::WorkerOrders& orders) const;

  SchedulerState& state_;
};

}  // namespace winchhall::cluster::scheduling
