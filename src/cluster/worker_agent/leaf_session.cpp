#include "cluster/worker_agent/leaf_session.hpp"

#include <algorithm>

namespace winchhall::cluster {
namespace {

constexpr std::size_t kEndedLivesKept = 64;
constexpr std::size_t kMostStartsAnswered = 200;
constexpr std::size_t kMostStartBytes = 3U << 20U;  // an answer holds 4 MiB at most
constexpr Millis kLeastStartHold{500};              // a start under a shorter hold is likely to lapse
constexpr Millis kProgressReportInterval{500};
constexpr Millis kBusyRetry{20};
constexpr Millis kIdleRetry{100};

bool same_capacity(const wire::LeafDescription& left, const wire::LeafDescription& right) {
  return left.cpu() == right.cpu() && left.mem_mb() == right.mem_mb() && left.gpu() == right.gpu() &&
         std::equal(left.labels().begin(), left.labels().end(), right.labels().begin(), right.labels().end());
}

bool tells_more(const wire::LeafDescription& known, const wire::LeafDescription& next) {
  return known.draining() != next.draining() || !same_capacity(known, next);
}

std::uint32_t to_millis(SteadyClock::duration duration) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<Millis>(duration).count());
}

}  // namespace

LeafSession::LeafSession(const NodeSettings& settings, std::uint64_t session)
    : node_name_(settings.node_name),
      session_(session),
      hold_max_(settings.bounds.hold_max),
      orders_by_heartbeat_(settings.commands == CommandMode::heartbeat) {}

HeartbeatVerdict LeafSession::accept(Heartbeat heartbeat, TimePoint now) {
  if (is_late(heartbeat)) return {true, false};
  const bool new_life = !leaf_ || leaf_->leaf_id() != heartbeat.leaf.leaf_id();
  if (new_life) begin_life(heartbeat.leaf.leaf_id());
  const std::uint64_t settled_before = book_.settled();
  const bool described = !new_life && !tells_more(*leaf_, heartbeat.leaf);
  leaf_ = heartbeat.leaf;
  last_sequence_ = heartbeat.sequence.value_or(last_sequence_);
  heartbeat_at_ = now;
  ++heartbeats_;
  orders_out_ = false;
  update_lists(heartbeat, now);
  book_.resolve(lists_);
  if (leaf_->draining()) book_.withdraw_untold_starts();
  note_last_seen_delivered();
  const bool epoch_settled = settle_epoch();
  const bool news = !described || runs_changed_ || epoch_settled || book_.settled() != settled_before;
  return {false, news};
}

bool LeafSession::is_late(const Heartbeat& heartbeat) const {
  const std::string& leaf_id = heartbeat.leaf.leaf_id();
  const bool over = std::find(ended_lives_.begin(), ended_lives_.end(), leaf_id) != ended_lives_.end();
  if (over) return true;
  const bool same_life = leaf_ && leaf_->leaf_id() == leaf_id;
  if (!same_life) return false;
  return left_ || (heartbeat.sequence && *heartbeat.sequence <= last_sequence_);
}

void LeafSession::begin_life(const std::string& leaf_id) {
  if (leaf_) {
    previous_leaf_id_ = leaf_->leaf_id();
    ended_lives_.push_back(previous_leaf_id_);
    if (ended_lives_.size() > kEndedLivesKept) ended_lives_.pop_front();
  }
  leaf_.emplace();
  leaf_->set_leaf_id(leaf_id);
  left_ = false;
  last_sequence_ = 0;
  heartbeats_ = 0;
  lists_.clear();
  ++lists_version_;
  book_.clear();
  orders_out_ = false;
  grant_until_.reset();
  last_seen_ = 0;
  last_seen_told_ = 0;
  last_seen_delivered_ = 0;
}

void LeafSession::update_lists(Heartbeat& heartbeat, TimePoint now) {
  const ListsChange change = lists_.update(std::move(heartbeat.running), std::move(heartbeat.finished));
  runs_changed_ = change == ListsChange::runs;
  if (change == ListsChange::none) return;
  const bool paced = change == ListsChange::progress && now - lists_versioned_at_ < kProgressReportInterval;
  if (paced) return;
  ++lists_version_;
  lists_versioned_at_ = now;
}

bool LeafSession::deregister(const std::string& leaf_id) {
  if (!leaf_ || leaf_->leaf_id() != leaf_id) return false;
  left_ = true;
  book_.withdraw_untold_starts();
  grant_until_.reset();
  return true;
}

OrdersResult LeafSession::take_orders(const SentReport& report, const wire::WorkerOrders& orders) {
  if (orders.epoch() == 0) return {OrdersVerdict::not_leading, false};
  if (orders.epoch() < epoch_) return {OrdersVerdict::obsolete, false};
  OrdersResult result{OrdersVerdict::taken, orders.lists_wanted()};
  if (orders.epoch() > epoch_) {
    adopt(orders.epoch());
    result.report_wanted = true;
  }
  if (!leaf_ || left_ || orders.leaf_id() != leaf_->leaf_id()) return result;
  if (report.number > newest_answered_) {
    newest_answered_ = report.number;
    leader_busy_ = orders.busy();
  }
  if (orders.grant_ms() != 0) {
    const TimePoint until = report.sent + Millis(orders.grant_ms());
    grant_until_ = std::max(grant_until_.value_or(until), until);
  }
  last_seen_ = std::max(last_seen_, orders.last_seen());
  book_.receive(orders, lists_);
  if (leaf_->draining()) book_.withdraw_untold_starts();
  return result;
}

void LeafSession::adopt(std::uint64_t epoch) {
  epoch_ = epoch;
  book_.clear();
  settle_epoch();
}

// Reports may name the newest epoch once nothing told under an older one is open. True: they do from now on.
bool LeafSession::settle_epoch() {
  if (orders_out_ || reported_epoch_ == epoch_) return false;
  reported_epoch_ = epoch_;
  return true;
}

void LeafSession::note_last_seen_delivered() {
  if (lists_.has_end_up_to(last_seen_told_)) return;  // the answer was lost
  last_seen_delivered_ = last_seen_told_;
}

bool LeafSession::may_start(TimePoint now) const {
  return leaf_ && !left_ && !leaf_->draining() && grant_until_ && *grant_until_ - now >= kLeastStartHold;
}

bool LeafSession::has_news(TimePoint now) const {
  if (book_.has_untold_stops()) return true;
  if (may_start(now) && book_.has_untold_starts()) return true;
  return last_seen_ != 0 && lists_.has_end_up_to(last_seen_);
}

bool LeafSession::busy() const { return leader_busy_ || occupied() || !book_.empty(); }

std::optional<Millis> LeafSession::hold(TimePoint now) const {
  if (!grant_until_ || *grant_until_ <= now) return std::nullopt;
  const Millis left = std::chrono::duration_cast<Millis>(*grant_until_ - heartbeat_at_);
  if (left.count() <= 0) return std::nullopt;
  return std::min(left, hold_max_);
}

HeartbeatAnswer LeafSession::answer(TimePoint now, bool with_orders) {
  HeartbeatAnswer answer;
  answer.hold = hold(now);
  answer.last_seen = last_seen_;
  answer.fence_token = epoch_;
  answer.retry_after = busy() ? kBusyRetry : kIdleRetry;
  last_seen_told_ = last_seen_;
  if (!with_orders || !orders_by_heartbeat_) return answer;
  OrderBatch batch = book_.take(may_start(now), kMostStartsAnswered, kMostStartBytes);
  orders_out_ = !batch.starts.empty() || !batch.stops.empty();
  answer.starts = std::move(batch.starts);
  answer.stops = std::move(batch.stops);
  return answer;
}

void LeafSession::fill_report(wire::WorkerReport& report, bool with_lists, TimePoint now) const {
  report.set_node_name(node_name_);
  report.set_session(session_);
  report.set_previous_leaf_id(previous_leaf_id_);
  report.set_epoch(reported_epoch_);
  if (!leaf_) return;
  *report.mutable_leaf() = *leaf_;
  report.set_left(left_);
  report.set_heartbeats(heartbeats_);
  report.set_heartbeat_age_ms(to_millis(now - heartbeat_at_));
  report.set_last_seen_delivered(last_seen_delivered_);
  if (reported_epoch_ == epoch_) {
    report.set_orders_received(book_.received());
    report.set_orders_settled(book_.settled());
  }
  if (!with_lists) return;
  report.set_lists_included(true);
  report.mutable_running()->Add(lists_.running().begin(), lists_.running().end());
  report.mutable_finished()->Add(lists_.finished().begin(), lists_.finished().end());
}

}  // namespace winchhall::cluster
