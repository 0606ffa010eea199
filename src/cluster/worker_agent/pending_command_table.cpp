#include "cluster/worker_agent/pending_command_table.hpp"

#include <algorithm>

#include "cluster/worker_agent/heartbeat_json.hpp"

namespace winchhall::cluster {
namespace {

bool is_revoked_by(const wire::StartOrder& start, const wire::StopOrder& stop) {
  return start.task() == stop.task() && start.run() <= stop.run();
}

}  // namespace

void PendingCommandTable::clear() {
  starts_.clear();
  stops_.clear();
  received_revision_ = 0;
}

void PendingCommandTable::receive(const wire::WorkerOrders& orders, const LeafTaskLists& lists) {
  const std::uint64_t known_revision = received_revision_;
  for (const wire::StartOrder& start : orders.starts()) {
    if (start.revision() > known_revision) add_start(start, lists);
  }
  for (const wire::StopOrder& stop : orders.stops()) {
    if (stop.revision() > known_revision) add_stop(stop, lists);
  }
  received_revision_ = std::max(received_revision_, orders.revision());
}

void PendingCommandTable::add_start(const wire::StartOrder& order, const LeafTaskLists& lists) {
  received_revision_ = std::max(received_revision_, order.revision());
  // An earlier worker-agent process of this node may have sent this order already.
  if (lists.is_listed(order.task(), order.run())) return;
  // Or the run has ended since, and its end isn't listed yet.
  const bool may_be_sent = lists.may_lack_earlier_finished();
  starts_[order.revision()] = PendingStart{order, may_be_sent, false};
}

void PendingCommandTable::add_stop(const wire::StopOrder& order, const LeafTaskLists& lists) {
  received_revision_ = std::max(received_revision_, order.revision());
  withdraw_starts_before(order);
  const bool may_run = lists.is_running(order.task(), order.run()) || has_pending_start_for(order);
  if (may_run) stops_[order.revision()] = PendingStop{order, false};
}

void PendingCommandTable::withdraw_starts_before(const wire::StopOrder& stop) {
  for (auto entry = starts_.begin(); entry != starts_.end();) {
    PendingStart& start = entry->second;
    const bool revoked = is_revoked_by(start.order, stop);
    if (revoked) start.withdrawn = true;
    entry = revoked && !start.sent ? starts_.erase(entry) : std::next(entry);
  }
}

void PendingCommandTable::reconcile(const LeafTaskLists& lists) {
  // Starts go first, since a stop stays pending for as long as a start that it revokes.
  reconcile_starts(lists);
  reconcile_stops(lists);
}

void PendingCommandTable::reconcile_starts(const LeafTaskLists& lists) {
  for (auto entry = starts_.begin(); entry != starts_.end();) {
    PendingStart& start = entry->second;
    const bool listed = lists.is_listed(start.order.task(), start.order.run());
    // If the list is truncated, the run may have finished without being listed.
    const bool result_unknown = start.sent && !listed && lists.is_truncated();
    if (!result_unknown) start.sent = false;
    const bool resolved = listed || (start.withdrawn && !result_unknown);
    entry = resolved ? starts_.erase(entry) : std::next(entry);
  }
}

void PendingCommandTable::reconcile_stops(const LeafTaskLists& lists) {
  for (auto entry = stops_.begin(); entry != stops_.end();) {
    const wire::StopOrder& order = entry->second.order;
    const bool resolved = !lists.is_running(order.task(), order.run()) && !has_pending_start_for(order);
    entry = resolved ? stops_.erase(entry) : std::next(entry);
  }
}

void PendingCommandTable::withdraw_unsent_starts() {
  for (auto entry = starts_.begin(); entry != starts_.end();) {
    entry->second.withdrawn = true;
    entry = entry->second.sent ? std::next(entry) : starts_.erase(entry);
  }
}

bool PendingCommandTable::has_unsent_starts() const {
  return std::any_of(starts_.begin(), starts_.end(),
                     [](const auto& entry) { return !entry.second.sent && !entry.second.withdrawn; });
}

bool PendingCommandTable::has_unsent_stops() const {
  return std::any_of(stops_.begin(), stops_.end(), [](const auto& entry) { return !entry.second.sent; });
}

CommandBatch PendingCommandTable::take_batch(bool with_starts, std::size_t max_starts,
                                             std::size_t max_start_bytes) {
  CommandBatch batch;
  for (auto& [revision, stop] : stops_) {
    stop.sent = true;
    batch.stops.push_back(stop.order);
  }
  if (!with_starts) return batch;
  std::size_t bytes = 0;
  for (auto& [revision, start] : starts_) {
    if (start.sent || start.withdrawn) continue;
    bytes += max_encoded_bytes(start.order);
    if (batch.starts.size() == max_starts || bytes > max_start_bytes) break;
    start.sent = true;
    batch.starts.push_back(start.order);
  }
  return batch;
}

std::uint64_t PendingCommandTable::acknowledged_revision() const {
  std::uint64_t acknowledged = received_revision_;
  if (!starts_.empty()) acknowledged = std::min(acknowledged, starts_.begin()->first - 1);
  if (!stops_.empty()) acknowledged = std::min(acknowledged, stops_.begin()->first - 1);
  return acknowledged;
}

bool PendingCommandTable::has_pending_start_for(const wire::StopOrder& stop) const {
  return std::any_of(starts_.begin(), starts_.end(),
                     [&stop](const auto& entry) { return is_revoked_by(entry.second.order, stop); });
}

}  // namespace winchhall::cluster
