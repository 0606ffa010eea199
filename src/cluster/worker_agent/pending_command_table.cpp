#include "cluster/worker_agent/pending_command_table.hpp"

#include <algorithm>

#include "cluster/worker_agent/heartbeat_json.hpp"

namespace winchhall::cluster {

void PendingCommandTable::clear() {
  starts_.clear();
  stops_.clear();
  received_ = 0;
}

void PendingCommandTable::receive(const wire::WorkerOrders& orders, const LeafTaskLists& lists) {
  const std::uint64_t known = received_;
  for (const wire::StartOrder& start : orders.starts()) {
    if (start.revision() > known) add_start(start, lists);
  }
  for (const wire::StopOrder& stop : orders.stops()) {
    if (stop.revision() > known) add_stop(stop, lists);
  }
  received_ = std::max(received_, orders.revision());
}

void PendingCommandTable::add_start(const wire::StartOrder& order, const LeafTaskLists& lists) {
  received_ = std::max(received_, order.revision());
  if (lists.lists(order.task(), order.run())) return;  // told by an earlier process here
  starts_[order.revision()] = Start{order, false, false};
}

void PendingCommandTable::add_stop(const wire::StopOrder& order, const LeafTaskLists& lists) {
  received_ = std::max(received_, order.revision());
  for (auto entry = starts_.begin(); entry != starts_.end();) {
    Start& start = entry->second;
    const bool meant = start.order.task() == order.task() && start.order.run() <= order.run();
    if (meant) start.withdrawn = true;
    entry = meant && !start.sent ? starts_.erase(entry) : std::next(entry);
  }
  const bool may_run = lists.runs(order.task(), order.run()) || has_pending_start_for(order);
  if (may_run) stops_[order.revision()] = Stop{order, false};
}

void PendingCommandTable::reconcile(const LeafTaskLists& lists) {
  for (auto entry = starts_.begin(); entry != starts_.end();) {
    Start& start = entry->second;
    const bool listed = lists.lists(start.order.task(), start.order.run());
    const bool unknown = start.sent && !listed && lists.is_truncated();  // its end may be hidden
    if (!unknown) start.sent = false;
    const bool over = listed || (start.withdrawn && !unknown);
    entry = over ? starts_.erase(entry) : std::next(entry);
  }
  for (auto entry = stops_.begin(); entry != stops_.end();) {
    const wire::StopOrder& order = entry->second.order;
    const bool over = !lists.runs(order.task(), order.run()) && !has_pending_start_for(order);
    entry = over ? stops_.erase(entry) : std::next(entry);
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

CommandBatch PendingCommandTable::take_batch(bool with_starts, std::size_t most_starts,
                                             std::size_t most_bytes) {
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
    if (batch.starts.size() == most_starts || bytes > most_bytes) break;
    start.sent = true;
    batch.starts.push_back(start.order);
  }
  return batch;
}

std::uint64_t PendingCommandTable::settled() const {
  std::uint64_t settled = received_;
  if (!starts_.empty()) settled = std::min(settled, starts_.begin()->first - 1);
  if (!stops_.empty()) settled = std::min(settled, stops_.begin()->first - 1);
  return settled;
}

bool PendingCommandTable::has_pending_start_for(const wire::StopOrder& order) const {
  return std::any_of(starts_.begin(), starts_.end(), [&order](const auto& entry) {
    return entry.second.order.task() == order.task() && entry.second.order.run() <= order.run();
  });
}

}  // namespace winchhall::cluster
