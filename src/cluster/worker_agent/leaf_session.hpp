// The worker-agent's state machine between its leaf and the leader of the leaf's service.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/worker_agent/heartbeat_json.hpp"
#include "cluster/worker_agent/leaf_handshake.hpp"
#include "cluster/worker_agent/leaf_task_lists.hpp"
#include "cluster/worker_agent/pending_command_table.hpp"

namespace winchhall::cluster {

// Result of the processing of a heartbeat.
enum class HeartbeatOutcome {
  stale,          // ignored: of an ended incarnation, or not newer than the newest heartbeat
  unconfirmed,    // of a leaf that has yet to show that it receives responses; to be responded to soon
  unchanged,      // accepted; the next periodic report is soon enough
  report_needed,  // accepted; the leader needs a report at once
};

// Identifies a report that was sent, for the processing of the leader's answer.
struct SentReport {
  std::uint64_t number = 0;
  TimePoint sent_at{};
};

// Result of the processing of a leader's answer.
enum class OrdersOutcome {
  accepted,
  not_leading,  // the sender does not lead the service
  obsolete,     // the sender led in an epoch that is over
};

// Result of `LeafSession::process_orders`.
struct ProcessedOrders {
  OrdersOutcome outcome = OrdersOutcome::not_leading;
  bool report_needed = false;  // the leader needs another report at once
};

// Owns the leaf's task lists, the leader's pending orders, the leader's epoch and the leaf's lease. Does no
// I/O: its input is heartbeats and the leader's answers, its output heartbeat responses and reports. Not
// thread-safe.
//
// Incarnations: a leaf that restarts has another id. Its session begins with its second heartbeat in quick
// succession (see LeafHandshake). The session of the earlier incarnation is discarded, and its late
// heartbeats are ignored.
//
// Epochs: a higher epoch is adopted at once, and the orders of older epochs are dropped. Reports continue to
// name the older epoch until a heartbeat has shown the result of every order sent under it. A report that
// names an epoch therefore guarantees that no order of an older epoch is still in flight to the leaf.
//
// Lease ("hold" on the wire and in the settings): how long the leaf may continue to run its tasks without
// another response. It never exceeds the leader's grant, which counts from the time that the answered report
// was sent.
class LeafSession {
 public:
  // `session_id` is a random number that identifies this process in its reports.
  LeafSession(const NodeSettings& settings, std::uint64_t session_id);

  // Updates task lists, pending orders and epoch from a heartbeat, unless it is stale.
  HeartbeatOutcome process_heartbeat(Heartbeat heartbeat, TimePoint now);
  // The response to an unconfirmed heartbeat: no lease and no orders, and the next heartbeat is to follow
  // soon. A leaf ignores it if an earlier process has given it a higher fencing token.
  HeartbeatResponse make_unconfirmed_response() const;
  // Notes the epoch of a leader that a control node has named, as fencing token for unconfirmed heartbeats.
  void observe_epoch(std::uint64_t epoch) { named_epoch_ = std::max(named_epoch_, epoch); }
  // Returns true if the epoch of any leader is known.
  bool knows_epoch() const { return std::max(named_epoch_, epoch_) > 0; }
  // Handles the leaf's announcement of its end: it gets no further starts and no lease. Returns false if
  // `leaf_id` isn't the current incarnation.
  bool deregister(const std::string& leaf_id);
  // Updates epoch, lease and pending orders from the leader's answer to `report`, unless it is refused.
  ProcessedOrders process_orders(const SentReport& report, const wire::WorkerOrders& orders);

  // Returns true if a response would contain something that the leaf should receive at once.
  bool needs_prompt_response(TimePoint now) const;
  // Returns true if the leaf should send its heartbeats in quick succession.
  bool is_busy() const;
  // Returns true if the newest heartbeat listed any task.
  bool has_listed_tasks() const { return !lists_.running().empty() || !lists_.finished().empty(); }
  // Builds the response to the newest heartbeat. Must be called at most once for each heartbeat. The orders
  // in the response are marked as sent; if `with_orders` is false, it contains none.
  HeartbeatResponse make_response(TimePoint now, bool with_orders);

  // Returns true once a heartbeat was accepted.
  bool has_leaf() const { return leaf_.has_value(); }
  // Precondition: `has_leaf()`.
  const wire::LeafDescription& leaf() const { return *leaf_; }
  // Highest leader epoch seen; 0 if none.
  std::uint64_t epoch() const { return epoch_; }
  // Incremented whenever the lists have changed enough to be reported again.
  std::uint64_t lists_version() const { return lists_version_; }
  // Sets all fields of a report except its number and the number of the report that contains the lists.
  void fill_report(wire::WorkerReport& report, bool with_lists, TimePoint now) const;

 private:
  bool is_stale(const Heartbeat& heartbeat) const;
  bool is_current_incarnation(const std::string& leaf_id) const {
    return leaf_ && leaf_->leaf_id() == leaf_id;
  }
  void begin_incarnation(const std::string& leaf_id);
  // Both return true if the leader must be told of the change at once.
  bool update_description(const Heartbeat& heartbeat);
  bool update_lists(Heartbeat& heartbeat, TimePoint now);
  void adopt_epoch(std::uint64_t epoch);
  // Lets reports name the newest epoch if no order of an older one is in flight. Returns true if the reported
  // epoch has changed.
  bool advance_reported_epoch();
  void extend_lease(const SentReport& report, const wire::WorkerOrders& orders);
  void update_last_seen_delivered();
  // Returns true if the leaf may get starts: it is neither draining nor deregistered, and its lease lasts
  // long enough.
  bool may_send_starts(TimePoint now) const;
  // Remaining time of the lease, counted from the newest heartbeat; empty if the lease has expired.
  std::optional<Millis> remaining_lease(TimePoint now) const;

  const std::string node_name_;
  const std::uint64_t session_id_;
  const Millis max_lease_;
  const bool orders_by_heartbeat_;

  LeafHandshake handshake_;  // with a leaf that isn't the current incarnation
  std::optional<wire::LeafDescription> leaf_;
  std::deque<std::string> ended_incarnations_;  // leaf ids, oldest first
  std::string previous_leaf_id_;
  bool deregistered_ = false;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t heartbeat_count_ = 0;  // of this incarnation
  TimePoint heartbeat_at_{};

  LeafTaskLists lists_;
  std::uint64_t lists_version_ = 0;
  TimePoint lists_versioned_at_{};

  PendingCommandTable pending_commands_;
  std::uint64_t named_epoch_ = 0;             // highest that a control node has named
  std::uint64_t epoch_ = 0;                   // highest seen
  std::uint64_t reported_epoch_ = 0;          // named by reports
  bool orders_in_flight_ = false;             // sent, and no heartbeat has come since
  std::uint64_t newest_answered_report_ = 0;  // number
  bool leader_busy_ = false;                  // as the leader said in its newest answer
  std::optional<TimePoint> lease_expires_at_;
  // The leader has recorded finished tasks up to this number, so the leaf may drop them. The three values are
  // the highest number that the leader has named, that a response has contained, and that the leaf has
  // certainly received.
  std::uint64_t last_seen_ = 0;
  std::uint64_t last_seen_sent_ = 0;
  std::uint64_t last_seen_delivered_ = 0;
};

}  // namespace winchhall::cluster
