// The worker-agent's state machine between its leaf and the leader of the leaf's service.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/worker_agent/heartbeat_json.hpp"
#include "cluster/worker_agent/leaf_task_lists.hpp"
#include "cluster/worker_agent/pending_command_table.hpp"

namespace winchhall::cluster {

enum class HeartbeatOutcome {
  stale,          // of an ended incarnation, or not newer than the newest heartbeat: ignored
  unchanged,      // accepted; the next periodic report is soon enough
  report_needed,  // accepted; the leader needs a report at once
};

// What processing a leader's answer needs to know of the report that it answers.
struct SentReport {
  std::uint64_t number = 0;
  TimePoint sent_at{};
};

enum class OrdersOutcome {
  accepted,
  not_leading,  // the sender does not lead the service
  obsolete,     // the sender led in an epoch that is over
};

struct ProcessedOrders {
  OrdersOutcome outcome = OrdersOutcome::not_leading;
  bool report_needed = false;  // the leader needs another report at once
};

// Keeps the leaf's task lists, the leader's pending orders, the leader's epoch and the leaf's lease. Does no
// I/O: heartbeats and the leader's answers come in, heartbeat responses and reports go out. Not thread-safe.
//
// Incarnations: a leaf that restarts comes back with another id. The session of the earlier incarnation is
// discarded, and late heartbeats of it are ignored.
//
// Epochs: the highest epoch seen is adopted at once and the orders of older ones are dropped. Reports go on
// naming the older epoch until a heartbeat has shown the result of every order sent under it; so a report
// that names an epoch guarantees that no order of an older epoch is still on its way to the leaf.
//
// Lease ("hold" on the wire and in the settings): how long the leaf may go on running its tasks without
// another response. It never exceeds the leader's grant, which counts from the sending of the report that it
// answers.
class LeafSession {
 public:
  // `session_id`: random, identifies this process in its reports.
  LeafSession(const NodeSettings& settings, std::uint64_t session_id);

  HeartbeatOutcome process_heartbeat(Heartbeat heartbeat, TimePoint now);
  // The leaf announces its end: it gets no further starts and no lease. False: not the current incarnation.
  bool deregister(const std::string& leaf_id);
  ProcessedOrders process_orders(const SentReport& report, const wire::WorkerOrders& orders);

  // True if a response would contain something that the leaf should receive at once.
  bool needs_prompt_response(TimePoint now) const;
  // True if the leaf should send its heartbeats in quick succession.
  bool is_busy() const;
  // True if the newest heartbeat listed any task.
  bool has_listed_tasks() const { return !lists_.running().empty() || !lists_.finished().empty(); }
  // Makes the response to the newest heartbeat; to be called at most once for each heartbeat. The orders in
  // it are marked as sent; without `with_orders` there are none.
  HeartbeatResponse make_response(TimePoint now, bool with_orders);

  bool has_leaf() const { return leaf_.has_value(); }
  // Precondition: `has_leaf()`.
  const wire::LeafDescription& leaf() const { return *leaf_; }
  // Highest leader epoch seen; 0: none.
  std::uint64_t epoch() const { return epoch_; }
  // Rises whenever the lists have changed enough to be reported again.
  std::uint64_t lists_version() const { return lists_version_; }
  // Sets all fields of a report but its number and the number of the report that contains the lists.
  void fill_report(wire::WorkerReport& report, bool with_lists, TimePoint now) const;

 private:
  bool is_stale(const Heartbeat& heartbeat) const;
  void begin_incarnation(const std::string& leaf_id);
  // Both return true if the leader needs to know of the change at once.
  bool update_description(const Heartbeat& heartbeat);
  bool update_lists(Heartbeat& heartbeat, TimePoint now);
  void adopt_epoch(std::uint64_t epoch);
  // Lets reports name the newest epoch once no order of an older one is in flight. True: they do from now on.
  bool advance_reported_epoch();
  void extend_lease(const SentReport& report, const wire::WorkerOrders& orders);
  void update_last_seen_delivered();
  bool may_send_starts(TimePoint now) const;
  // What is left of the lease, counted from the newest heartbeat; none: it has expired.
  std::optional<Millis> remaining_lease(TimePoint now) const;

  const std::string node_name_;
  const std::uint64_t session_id_;
  const Millis max_lease_;
  const bool orders_by_heartbeat_;

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
  std::uint64_t epoch_ = 0;                   // highest seen
  std::uint64_t reported_epoch_ = 0;          // named by reports
  bool orders_in_flight_ = false;             // sent, and no heartbeat has come since
  std::uint64_t newest_answered_report_ = 0;  // number
  bool leader_busy_ = false;                  // as the leader said in its newest answer
  std::optional<TimePoint> lease_expires_at_;
  // Finished tasks up to this number are recorded by the leader, so that the leaf may drop them: the highest
  // number that the leader has named, that a response has held, and that the leaf has certainly received.
  std::uint64_t last_seen_ = 0;
  std::uint64_t last_seen_sent_ = 0;
  std::uint64_t last_seen_delivered_ = 0;
};

}  // namespace winchhall::cluster
