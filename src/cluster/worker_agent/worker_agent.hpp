// The process beside a leaf: takes its heartbeats, reports them to the leader of its service and answers them
// with the leader's orders and holds.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"
#include "cluster/worker_agent/leader_reporter.hpp"
#include "cluster/worker_agent/leaf_session.hpp"

namespace winchhall::cluster {

// An HTTP answer to the leaf: status and JSON body.
struct LeafResponse {
  unsigned status = 200;
  std::string body;
};
// Answers a call of the leaf. Destroyed uncalled: the call gets no answer.
using LeafReplier = std::function<void(LeafResponse)>;

class WorkerAgent {
 public:
  // Both references outlive the agent.
  WorkerAgent(Runtime& runtime, const NodeSettings& settings);

  // Looks for the leader, so that it is known when the leaf calls.
  void start();
  // Internal listeners of the seeds, after a change of the settings.
  void set_seeds(std::vector<Address> seeds) { reporter_.set_seeds(std::move(seeds)); }
  // Control nodes that peer sampling brought up: a further source beside seeds and members.
  void set_sampled_control(std::vector<Address> nodes) { reporter_.set_sampled_control(std::move(nodes)); }
  // Instances.Heartbeat. An answer is held back for a short while where orders may still come.
  void on_heartbeat(const std::string& leaf_id, const std::string& body, LeafReplier reply);
  // Instances.Deregister.
  void on_deregister(const std::string& leaf_id, const LeafReplier& reply);
  // Requests of other processes: none is for a worker-agent.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Answers what is held back, without orders; `done` is called once the answer has had time to leave.
  void shut_down(std::function<void()> done);

  const LeafSession& session() const { return session_; }

 private:
  void process_heartbeat(Heartbeat heartbeat, LeafReplier reply);
  void defer_response(LeafReplier reply);
  void respond_if_urgent();
  void send_deferred_response();

  Runtime& runtime_;
  LeafSession session_;
  LeaderReporter reporter_;
  LeafReplier deferred_reply_;  // of the newest heartbeat, not yet answered
  TimePoint deferred_at_{};
  std::unique_ptr<Timer> response_delay_timer_;
  bool shutting_down_ = false;
  std::unique_ptr<Timer> shut_down_timer_;
};

}  // namespace winchhall::cluster
