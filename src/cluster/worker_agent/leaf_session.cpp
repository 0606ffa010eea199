#include "cluster/worker_agent/leaf_session.hpp"

#include <algorithm>

namespace winchhall::cluster {
namespace {

constexpr std::size_t kMaxEndedIncarnations = 64;
constexpr std::size_t kMaxStartsPerResponse = 200;
constexpr std::size_t kMaxStartBytesPerResponse = 3U << 20U;  // a response may hold 4 MiB
constexpr Millis kMinLeaseForStart{500};  // a shorter lease is likely to expire before it is renewed
constexpr Millis kProgressReportInterval{500};
constexpr Millis kBusyRetry{20};
constexpr Millis kIdleRetry{100};

bool has_same_capacity(const wire::LeafDescription& left, const wire::LeafDescription& right) {
  return left.cpu() == right.cpu() && left.mem_mb() == right.mem_mb() && left.gpu() == right.gpu() &&
         std::equal(left.labels().begin(), left.labels().end(), right.labels().begin(), right.labels().end());
}

bool has_urgent_change(const wire::LeafDescription& known, const wire::LeafDescription& next) {
  return known.draining() != next.draining() || !has_same_capacity(known, next);
}

std::uint32_t to_millis(SteadyClock::duration duration) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<Millis>(duration).count());
}

}  // namespace

LeafSession::LeafSession(const NodeSettings& settings, std::uint64_t session_id)
    : node_name_(settings.node_name),
      session_id_(session_id),
      max_lease_(settings.bounds.hold_max),
      orders_by_heartbeat_(settings.commands == CommandMode::heartbeat) {}

HeartbeatOutcome LeafSession::process_heartbeat(Heartbeat heartbeat, TimePoint now) {
  if (is_stale(heartbeat)) return HeartbeatOutcome::stale;
  if (!is_current_incarnation(heartbeat.leaf.leaf_id()) && !handshake_.observe(heartbeat, now))
    return HeartbeatOutcome::unconfirmed;
  const bool description_changed = update_description(heartbeat);
  const std::uint64_t acknowledged_before = pending_commands_.acknowledged_revision();
  last_sequence_ = heartbeat.sequence.value_or(last_sequence_);
  heartbeat_at_ = now;
  ++heartbeat_count_;
  orders_in_flight_ = false;
  const bool runs_changed = update_lists(heartbeat, now);
  pending_commands_.reconcile(lists_);
  if (leaf_->draining()) pending_commands_.withdraw_unsent_starts();
  update_last_seen_delivered();
  const bool epoch_advanced = advance_reported_epoch();
  const bool orders_acknowledged = pending_commands_.acknowledged_revision() != acknowledged_before;
  const bool report_needed = description_changed || runs_changed || epoch_advanced || orders_acknowledged;
  return report_needed ? HeartbeatOutcome::report_needed : HeartbeatOutcome::unchanged;
}

bool LeafSession::is_stale(const Heartbeat& heartbeat) const {
  const std::string& leaf_id = heartbeat.leaf.leaf_id();
  const bool ended =
      std::find(ended_incarnations_.begin(), ended_incarnations_.end(), leaf_id) != ended_incarnations_.end();
  if (ended) return true;
  if (!is_current_incarnation(leaf_id)) return false;
  return deregistered_ || (heartbeat.sequence && *heartbeat.sequence <= last_sequence_);
}

bool LeafSession::update_description(const Heartbeat& heartbeat) {
  const bool new_incarnation = !is_current_incarnation(heartbeat.leaf.leaf_id());
  if (new_incarnation) begin_incarnation(heartbeat.leaf.leaf_id());
  const bool changed = new_incarnation || has_urgent_change(*leaf_, heartbeat.leaf);
  leaf_ = heartbeat.leaf;
  return changed;
}

void LeafSession::begin_incarnation(const std::string& leaf_id) {
  if (leaf_) {
    previous_leaf_id_ = leaf_->leaf_id();
    ended_incarnations_.push_back(previous_leaf_id_);
    if (ended_incarnations_.size() > kMaxEndedIncarnations) ended_incarnations_.pop_front();
  }
  leaf_.emplace();
  leaf_->set_leaf_id(leaf_id);
  deregistered_ = false;
  last_sequence_ = 0;
  heartbeat_count_ = 0;
  lists_.clear();
  ++lists_version_;
  pending_commands_.clear();
  orders_in_flight_ = false;
  lease_expires_at_.reset();
  last_seen_ = 0;
  last_seen_sent_ = 0;
  last_seen_delivered_ = 0;
}

bool LeafSession::update_lists(Heartbeat& heartbeat, TimePoint now) {
  const TaskListsChange change = lists_.update(std::move(heartbeat.running), std::move(heartbeat.finished));
  if (change == TaskListsChange::none) return false;
  // Progress alone is reported at a bounded rate, since the lists may be long.
  const bool too_soon = now - lists_versioned_at_ < kProgressReportInterval;
  if (change == TaskListsChange::progress && too_soon) return false;
  ++lists_version_;
  lists_versioned_at_ = now;
  return change == TaskListsChange::runs;
}

bool LeafSession::deregister(const std::string& leaf_id) {
  if (!is_current_incarnation(leaf_id)) return false;
  deregistered_ = true;
  pending_commands_.withdraw_unsent_starts();
  lease_expires_at_.reset();
  return true;
}

ProcessedOrders LeafSession::process_orders(const SentReport& report, const wire::WorkerOrders& orders) {
  if (orders.epoch() == 0) return {OrdersOutcome::not_leading, false};
  if (orders.epoch() < epoch_) return {OrdersOutcome::obsolete, false};
  ProcessedOrders result{OrdersOutcome::accepted, orders.lists_wanted()};
  if (orders.epoch() > epoch_) {
    adopt_epoch(orders.epoch());
    result.report_needed = true;
  }
  if (!leaf_ || orders.leaf_id() != leaf_->leaf_id()) return result;
  if (report.number > newest_answered_report_) {
    newest_answered_report_ = report.number;
    leader_busy_ = orders.busy();
  }
  if (!deregistered_) extend_lease(report, orders);
  last_seen_ = std::max(last_seen_, orders.last_seen());
  pending_commands_.receive(orders, lists_);
  if (leaf_->draining() || deregistered_) pending_commands_.withdraw_unsent_starts();
  return result;
}

// Answers may arrive out of order: an older one must not shorten the lease.
void LeafSession::extend_lease(const SentReport& report, const wire::WorkerOrders& orders) {
  if (orders.grant_ms() == 0) return;
  const TimePoint granted_until = report.sent_at + Millis(orders.grant_ms());
  lease_expires_at_ = std::max(lease_expires_at_.value_or(granted_until), granted_until);
}

void LeafSession::adopt_epoch(std::uint64_t epoch) {
  epoch_ = epoch;
  pending_commands_.clear();
  advance_reported_epoch();
}

bool LeafSession::advance_reported_epoch() {
  if (orders_in_flight_ || reported_epoch_ == epoch_) return false;
  reported_epoch_ = epoch_;
  return true;
}

void LeafSession::update_last_seen_delivered() {
  if (lists_.has_finished_up_to(last_seen_sent_)) return;  // the response was lost
  last_seen_delivered_ = last_seen_sent_;
}

bool LeafSession::may_send_starts(TimePoint now) const {
  return leaf_ && !deregistered_ && !leaf_->draining() && lease_expires_at_ &&
         *lease_expires_at_ - now >= kMinLeaseForStart;
}

bool LeafSession::needs_prompt_response(TimePoint now) const {
  if (pending_commands_.has_unsent_stops()) return true;
  if (may_send_starts(now) && pending_commands_.has_unsent_starts()) return true;
  return last_seen_ != 0 && lists_.has_finished_up_to(last_seen_);
}

bool LeafSession::is_busy() const { return leader_busy_ || has_listed_tasks() || !pending_commands_.empty(); }

std::optional<Millis> LeafSession::remaining_lease(TimePoint now) const {
  if (!lease_expires_at_ || *lease_expires_at_ <= now) return std::nullopt;
  const Millis remaining = std::chrono::duration_cast<Millis>(*lease_expires_at_ - heartbeat_at_);
  if (remaining.count() <= 0) return std::nullopt;
  return std::min(remaining, max_lease_);
}

HeartbeatResponse LeafSession::make_unconfirmed_response() const {
  HeartbeatResponse response;
  response.fence_token = std::max(named_epoch_, epoch_);
  response.retry_after = kBusyRetry;
  return response;
}

HeartbeatResponse LeafSession::make_response(TimePoint now, bool with_orders) {
  HeartbeatResponse response;
  response.lease = remaining_lease(now);
  response.last_seen = last_seen_;
  response.fence_token = epoch_;
  response.retry_after = is_busy() ? kBusyRetry : kIdleRetry;
  last_seen_sent_ = last_seen_;
  if (!with_orders || !orders_by_heartbeat_) return response;
  CommandBatch batch =
      pending_commands_.take_batch(may_send_starts(now), kMaxStartsPerResponse, kMaxStartBytesPerResponse);
  orders_in_flight_ = !batch.starts.empty() || !batch.stops.empty();
  response.starts = std::move(batch.starts);
  response.stops = std::move(batch.stops);
  return response;
}

void LeafSession::fill_report(wire::WorkerReport& report, bool with_lists, TimePoint now) const {
  report.set_node_name(node_name_);
  report.set_session(session_id_);
  report.set_previous_leaf_id(previous_leaf_id_);
  report.set_epoch(reported_epoch_);
  if (!leaf_) return;
  *report.mutable_leaf() = *leaf_;
  report.set_left(deregistered_);
  report.set_heartbeats(heartbeat_count_);
  report.set_heartbeat_age_ms(to_millis(now - heartbeat_at_));
  report.set_last_seen_delivered(last_seen_delivered_);
  if (reported_epoch_ == epoch_) {
    report.set_orders_received(pending_commands_.received_revision());
    report.set_orders_settled(pending_commands_.acknowledged_revision());
  }
  if (!with_lists) return;
  report.set_lists_included(true);
  report.mutable_running()->Add(lists_.running().begin(), lists_.running().end());
  report.mutable_finished()->Add(lists_.finished().begin(), lists_.finished().end());
}

}  // namespace winchhall::cluster
