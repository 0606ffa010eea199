#include "cluster/scheduler/order_responder.hpp"

#include <algorithm>

#include "cluster/scheduler/eligibility.hpp"

namespace winchhall::cluster::scheduling {
namespace {

// How long after the start of a run the leaves are asked for frequent heartbeats.
constexpr Millis kBusyAfterStart{500};

template <class Order>
bool has_order_above(const std::deque<Order>& orders, Revision revision) {
  return !orders.empty() && orders.back().revision() > revision;
}

}  // namespace

wire::WorkerOrders OrderResponder::make_orders(const std::string& leaf_id) {
  wire::WorkerOrders orders;
  orders.set_epoch(state_.epoch);
  orders.set_leaf_id(leaf_id);
  orders.set_busy(!state_.queue.empty() || state_.now - state_.last_start_at < kBusyAfterStart);
  state_.leaves.on_answered(leaf_id);
  Leaf* leaf = state_.leaves.find(leaf_id);
  if (leaf == nullptr) {
    orders.set_revision(state_.last_revision);
    orders.set_lists_wanted(true);
    return orders;
  }
  orders.set_revision(leaf->issued_revision);
  orders.set_report_number(leaf->report_number);
  orders.set_lists_wanted(leaf->lists_requested);
  orders.set_last_seen(leaf->acknowledged_end);
  grant_lease(*leaf, orders);
  add_orders(*leaf, orders);
  leaf->delivered_revision = leaf->issued_revision;
  leaf->delivered_acknowledged_end = leaf->acknowledged_end;
  leaf->lists_requested = false;
  leaf->epoch_delivered = true;
  return orders;
}

void OrderResponder::grant_lease(Leaf& leaf, wire::WorkerOrders& orders) const {
  if (!leaf.reported || leaf.heartbeat_age_ms > kMaxLeaseHeartbeatAgeMs) return;
  orders.set_grant_ms(static_cast<std::uint32_t>(state_.lease_duration().count()));
  leaf.lease_expires_at = std::max(leaf.lease_expires_at, state_.now + state_.max_lease_duration());
}

void OrderResponder::add_orders(Leaf& leaf, wire::WorkerOrders& orders) const {
  for (const wire::StartOrder& start : leaf.pending_starts) {
    if (start.revision() <= leaf.received_revision) continue;
    *orders.add_starts() = start;
    leaf.runs.find(RunKeyView{start.task(), start.run()})->second.start_delivered = true;
  }
  for (const wire::StopOrder& stop : leaf.pending_stops)
    if (stop.revision() > leaf.received_revision) *orders.add_stops() = stop;
}

bool OrderResponder::has_undelivered_orders(const std::string& leaf_id) const {
  const Leaf* leaf = state_.leaves.find(leaf_id);
  if (leaf == nullptr) return state_.leaves.is_announced(leaf_id);
  return has_order_above(leaf->pending_starts, leaf->delivered_revision) ||
         has_order_above(leaf->pending_stops, leaf->delivered_revision) ||
         leaf->acknowledged_end > leaf->delivered_acknowledged_end || leaf->lists_requested ||
         !leaf->epoch_delivered;
}

}  // namespace winchhall::cluster::scheduling
