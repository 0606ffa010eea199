// Call of the leader of one service with one job request.
#pragma once

#include <functional>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/control_watcher.hpp"
#include "cluster/agent/retry_budget.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// What all calls to leaders share. The objects referred to must outlive the calls.
struct LeaderCallContext {
  Runtime& runtime;
  const ClusterView& view;
  ControlWatcher& watcher;
  RetryBudget& budget;
};

// Sends a job request to the leader of its service, also when the leader changes, and retries with backoff
// until the deadline.
//
// The result is definite or says that it is in doubt: JOB_OK, JOB_NOT_FOUND, JOB_INVALID or JOB_NO_QUEUE if
// the leader replied so; JOB_REJECTED only if no node can have accepted any attempt; otherwise JOB_IN_DOUBT.
//
// Not thread-safe. Must be owned by a shared_ptr, because attempts in flight refer to it.
class LeaderCall : public std::enable_shared_from_this<LeaderCall> {
 public:
  using Done = std::function<void(const wire::JobReply&)>;

  // `done` is called exactly once, by `deadline`, possibly before a function of this class returns.
  LeaderCall(const LeaderCallContext& context, wire::JobRequest request, TimePoint deadline, Done done);

  // Makes the first attempt.
  void start();
  // Must be called when the view has newer leaders. If the call waits for a retry, or its attempt is in
  // flight to another node, sends the request to the new leader at once.
  void on_leaders_changed();

 private:
  void begin_attempt();
  void send(const Address& target);
  void on_result(unsigned attempt, const Address& target, const CallResult& result);
  void on_reply(const wire::JobReply& reply, const Address& target);
  void on_not_leader(const wire::JobReply& reply, const Address& target);
  void retry_after_failure(const Address& failed);
  // Schedules an attempt after a delay that doubles each time, with jitter.
  void back_off();
  void retry_after(Millis delay);
  // If true, no node can have accepted the request.
  bool was_never_sent() const { return attempts_ == 0; }
  // The time until which a request that was never sent waits for a leader to be known.
  TimePoint unsent_deadline() const;
  // Ends the call without a definite reply of the leader.
  void give_up();
  void finish(const wire::JobReply& reply);
  // At least 1 ms.
  Millis time_until(TimePoint end) const;

  LeaderCallContext context_;
  wire::JobRequest request_;
  TimePoint started_;
  TimePoint deadline_;
  Done done_;
  bool finished_ = false;
  unsigned attempts_ = 0;   // so far; also the number of the newest one
  Address attempt_target_;  // of the newest attempt while it is in flight; otherwise empty
  unsigned redirects_followed_ = 0;
  Millis backoff_;
  std::unique_ptr<Timer> retry_timer_;
  std::unique_ptr<Timer> deadline_timer_;
};

}  // namespace winchhall::cluster
