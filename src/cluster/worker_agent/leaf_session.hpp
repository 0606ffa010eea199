// The worker-agent's view of the leaf beside it and of the leader that orders it about: lists, orders,
// epochs, holds. No I/O: heartbeats and the leader's answers go in, answers and reports come out.
//
// Epochs: the highest epoch heard of is adopted at once and older orders are dropped, but reports go on
// naming the older epoch until a heartbeat has shown what became of everything told under it.
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

// What a heartbeat is worth.
struct HeartbeatOutcome {
  bool stale = false;          // from an ended life or before the newest: ignored
  bool report_needed = false;  // the leader should be told at once
};

// A report under way, as far as its answer depends on it.
struct SentReport {
  std::uint64_t number = 0;
  TimePoint sent{};
};

enum class OrdersOutcome {
  accepted,
  not_leading,  // the sender does not lead the service
  obsolete,     // the sender led in an epoch that is over
};

struct ProcessedOrders {
  OrdersOutcome outcome = OrdersOutcome::not_leading;
  bool report_wanted = false;  // a new report should go out at once
};

class LeafSession {
 public:
  // `session`: random, of this process.
  LeafSession(const NodeSettings& settings, std::uint64_t session);

  HeartbeatOutcome process_heartbeat(Heartbeat heartbeat, TimePoint now);
  // The leaf says that it ends. False: another leaf or unknown.
  bool deregister(const std::string& leaf_id);
  ProcessedOrders process_orders(const SentReport& report, const wire::WorkerOrders& orders);

  // True if an answer would tell the leaf something that it should know at once.
  bool needs_prompt_response(TimePoint now) const;
  // True if the leaf's work moves: heartbeats should come fast.
  bool busy() const;
  // True if the newest heartbeat showed tasks that run or ends that aren't forgotten.
  bool has_listed_tasks() const { return !lists_.running().empty() || !lists_.finished().empty(); }
  // Makes the answer to the newest heartbeat. With orders, they count as told. Called once a heartbeat at
  // most.
  HeartbeatResponse answer(TimePoint now, bool with_orders);

  bool has_leaf() const { return leaf_.has_value(); }
  const wire::LeafDescription& leaf() const { return *leaf_; }
  std::uint64_t epoch() const { return epoch_; }
  // Rises when the lists have changed enough to be reported again.
  std::uint64_t lists_version() const { return lists_version_; }
  // Fills in everything but the report's number and which lists it refers to.
  void fill_report(wire::WorkerReport& report, bool with_lists, TimePoint now) const;

 private:
  bool is_stale(const Heartbeat& heartbeat) const;
  void begin_incarnation(const std::string& leaf_id);
  void update_lists(Heartbeat& heartbeat, TimePoint now);
  void adopt_epoch(std::uint64_t epoch);
  bool advance_reported_epoch();
  void update_last_seen_delivered();
  bool may_start(TimePoint now) const;
  std::optional<Millis> hold(TimePoint now) const;

  const std::string node_name_;
  const std::uint64_t session_;
  const Millis hold_max_;
  const bool orders_by_heartbeat_;

  std::optional<wire::LeafDescription> leaf_;
  std::deque<std::string> ended_incarnations_;
  std::string previous_leaf_id_;
  bool deregistered_ = false;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t heartbeats_ = 0;
  TimePoint heartbeat_at_{};

  LeafTaskLists lists_;
  std::uint64_t lists_version_ = 0;
  TimePoint lists_versioned_at_{};
  bool runs_changed_ = false;  // by the newest heartbeat

  PendingCommandTable pending_commands_;
  std::uint64_t epoch_ = 0;                   // highest known
  std::uint64_t reported_epoch_ = 0;          // that reports refer to
  bool orders_in_flight_ = false;             // orders were told and no heartbeat has come since
  std::uint64_t newest_answered_report_ = 0;  // report
  bool leader_busy_ = false;
  std::optional<TimePoint> lease_expires_at_;
  std::uint64_t last_seen_ = 0;            // to be told
  std::uint64_t last_seen_sent_ = 0;       // in an answer
  std::uint64_t last_seen_delivered_ = 0;  // known to have arrived
};

}  // namespace winchhall::cluster
