// The orders of one leader epoch to one life of the leaf: which are still to be told, which were told and not
// yet seen to be carried out, and up to which revision all are settled.
//
// Heartbeats and their answers take turns, so a heartbeat shows what became of everything told before it: a
// start that is listed was carried out, one that isn't listed was not; a stop is carried out once its run is
// not running.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cluster/wire/cluster.pb.h"
#include "cluster/worker_agent/leaf_task_lists.hpp"

namespace winchhall::cluster {

// Orders for one answer.
struct CommandBatch {
  std::vector<wire::StartOrder> starts;
  std::vector<wire::StopOrder> stops;
};

class PendingCommandTable {
 public:
  // Forgets everything, for another epoch or another life of the leaf.
  void clear();

  // Notes the orders of an answer of the leader that are above the highest revision noted so far.
  // `lists`: of the newest heartbeat.
  void receive(const wire::WorkerOrders& orders, const LeafTaskLists& lists);
  // Compares what was told with the lists of a new heartbeat.
  void reconcile(const LeafTaskLists& lists);
  // No start is told any more: those that were not are dropped.
  void withdraw_unsent_starts();

  bool has_unsent_starts() const;
  bool has_unsent_stops() const;
  bool empty() const { return starts_.empty() && stops_.empty(); }
  // Takes orders for an answer, oldest starts first; they count as told. Stops are told with every answer
  // until they are settled. `most_bytes` bounds the starts' share of the answer.
  CommandBatch take_batch(bool with_starts, std::size_t most_starts, std::size_t most_bytes);

  // Highest revision received.
  std::uint64_t received_revision() const { return received_; }
  // Every order up to this revision shows in the lists of the newest heartbeat.
  std::uint64_t settled() const;

 private:
  struct Start {
    wire::StartOrder order;
    bool sent = false;
    bool withdrawn = false;  // not to be told again
  };
  struct Stop {
    wire::StopOrder order;
    bool sent = false;
  };

  void add_start(const wire::StartOrder& order, const LeafTaskLists& lists);
  void add_stop(const wire::StopOrder& order, const LeafTaskLists& lists);
  bool has_pending_start_for(const wire::StopOrder& order) const;

  std::map<std::uint64_t, Start> starts_;  // by revision
  std::map<std::uint64_t, Stop> stops_;    // by revision
  std::uint64_t received_ = 0;
};

}  // namespace winchhall::cluster
