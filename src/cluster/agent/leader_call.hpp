// One job request to the leader of one service.
#pragma once

#include <functional>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/control_watcher.hpp"
#include "cluster/agent/retry_budget.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// What calls to leaders share. The references outlive the calls.
struct LeaderCallContext {
  Runtime& runtime;
  const ClusterView& view;
  ControlWatcher& watcher;
  RetryBudget& budget;
};

// Finds the leader, follows it when it changes, and retries with backoff until the deadline.
//
// The result is certain or says that it is not: JOB_OK, JOB_NOT_FOUND, JOB_INVALID or JOB_NO_QUEUE as the
// leader replied; JOB_REJECTED only if no attempt can have been accepted by any node; else JOB_IN_DOUBT.
//
// Not thread-safe. Owned by a shared_ptr, since calls under way refer to it.
class LeaderCall : public std::enable_shared_from_this<LeaderCall> {
 public:
  using Done = std::function<void(const wire::JobReply&)>;

  // `done` is called exactly once, by `deadline`; perhaps from within a function of this class.
  LeaderCall(const LeaderCallContext& context, wire::JobRequest request, TimePoint deadline, Done done);

  void start();
  // The view has newer leaders: a call that waits for a retry, or whose attempt is under way at another node,
  // is sent to the new leader at once.
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
  // No node can have accepted the request.
  bool was_never_sent() const { return attempts_ == 0; }
  // Until when a call waits for a leader to be known.
  TimePoint unsent_deadline() const;
  // Ends the call without a reply of the leader.
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
  unsigned attempts_ = 0;   // number of the newest one
  Address attempt_target_;  // of the newest attempt while it is under way; else empty
  unsigned redirects_followed_ = 0;
  Millis backoff_;
  std::unique_ptr<Timer> retry_timer_;
  std::unique_ptr<Timer> deadline_timer_;
};

}  // namespace winchhall::cluster
