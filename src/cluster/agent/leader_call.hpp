// One job request to the leader of one service: finds the leader, follows it when it changes, tries again
// until the deadline, and says for certain only what is certain.
#pragma once

#include <functional>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/control_watcher.hpp"
#include "cluster/agent/retry_budget.hpp"
#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// What calls to leaders need of their agent.
struct LeaderCallContext {
  Runtime& runtime;
  const ClusterView& view;
  ControlWatcher& watcher;
  RetryBudget& budget;
};

// Ends with JOB_OK, JOB_NOT_FOUND, JOB_INVALID or JOB_NO_QUEUE as the leader said; JOB_REJECTED only if no
// try can have been taken; else JOB_IN_DOUBT.
class LeaderCall : public std::enable_shared_from_this<LeaderCall> {
 public:
  using Done = std::function<void(const wire::JobReply&)>;

  LeaderCall(const LeaderCallContext& context, wire::JobRequest request, TimePoint deadline, Done done);

  void start();
  // The view has newer leaders: a try that waits, or is out at another node, is made anew.
  void on_leaders_changed();

 private:
  void begin_attempt();
  void send(const Address& target);
  void on_result(unsigned try_number, const Address& target, const CallResult& result);
  void on_reply(const wire::JobReply& reply, const Address& target);
  void on_not_leader(const wire::JobReply& reply, const Address& target);
  void retry_after_failure(const Address& failed);
  void back_off();
  void wait(Millis pause);
  // Nothing was sent that may have been taken.
  bool was_never_sent() const { return attempts_ == 0; }
  TimePoint unsent_deadline() const;
  void give_up();
  void finish(const wire::JobReply& reply);
  Millis left_until(TimePoint end) const;

  LeaderCallContext context_;
  wire::JobRequest request_;
  TimePoint started_;
  TimePoint deadline_;
  Done done_;
  bool finished_ = false;
  bool unclear_ = false;    // a try ended without a clear answer
  unsigned attempts_ = 0;   // the number of the newest one
  Address attempt_target_;  // where it is under way; empty: it has ended
  Address hint_;            // leader named by a node that does not lead
  unsigned redirects_followed_ = 0;
  Millis backoff_;
  std::unique_ptr<Timer> timer_;
  std::unique_ptr<Timer> end_timer_;
};

}  // namespace winchhall::cluster
