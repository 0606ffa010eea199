// Start and stop orders of the leader that no heartbeat of the leaf has acknowledged yet.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster/wire/cluster.pb.h"
#include "cluster/worker_agent/leaf_task_lists.hpp"

namespace winchhall::cluster {

// The orders that go into one heartbeat response.
struct CommandBatch {
  std::vector<wire::StartOrder> starts;
  std::vector<wire::StopOrder> stops;
};

// Owns the pending orders of one leader epoch for one incarnation of the leaf, by revision.
//
// Heartbeats and their responses alternate, so each heartbeat shows the result of all orders sent before it:
// a start was executed if and only if the heartbeat lists its run (running or finished), and a stop was
// executed once its run is no longer running. An order that was not executed is sent again.
//
// Invariant: every order received with a revision up to `acknowledged_revision()` is reflected in the lists
// of the newest heartbeat. Not thread-safe.
class PendingCommandTable {
 public:
  // Discards all orders and revisions, for another epoch or another incarnation of the leaf.
  void clear();

  // Adds the orders of a leader's answer whose revision is above the highest one received so far. `lists` are
  // those of the newest heartbeat.
  void receive(const wire::WorkerOrders& orders, const LeafTaskLists& lists);
  // Removes the orders that the lists of a new heartbeat acknowledge, and marks the others as unsent, so that
  // they are sent again.
  void reconcile(const LeafTaskLists& lists);
  // Drops the unsent starts, and ensures that starts that were already sent are not sent again.
  void withdraw_unsent_starts();

  bool has_unsent_starts() const;
  bool has_unsent_stops() const;
  bool empty() const { return starts_.empty() && stops_.empty(); }
  // Returns the orders for a response, oldest starts first, and marks them as sent. Stops are part of every
  // response until they are acknowledged. `max_starts` and `max_start_bytes` (encoded size) bound the starts;
  // if `with_starts` is false, there are none.
  CommandBatch take_batch(bool with_starts, std::size_t max_starts, std::size_t max_start_bytes);

  // Highest revision received from the leader; 0 if none.
  std::uint64_t received_revision() const { return received_revision_; }
  // Highest revision up to which all orders are acknowledged.
  std::uint64_t acknowledged_revision() const;

 private:
  struct PendingStart {
    wire::StartOrder order;
    bool sent = false;       // since the newest heartbeat, or earlier with a result that is still unknown
    bool withdrawn = false;  // must not be sent again
  };
  struct PendingStop {
    wire::StopOrder order;
    bool sent = false;
  };

  void add_start(const wire::StartOrder& order, const LeafTaskLists& lists);
  void add_stop(const wire::StopOrder& order, const LeafTaskLists& lists);
  void reconcile_starts(const LeafTaskLists& lists);
  void reconcile_stops(const LeafTaskLists& lists);
  // Withdraws the starts that a stop revokes, which are those of the same task with the same run or an
  // earlier one.
  void withdraw_starts_before(const wire::StopOrder& stop);
  bool has_pending_start_for(const wire::StopOrder& stop) const;

  std::map<std::uint64_t, PendingStart> starts_;  // by revision
  std::map<std::uint64_t, PendingStop> stops_;    // by revision
  std::uint64_t received_revision_ = 0;
};

}  // namespace winchhall::cluster
