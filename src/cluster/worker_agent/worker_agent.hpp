// The worker-agent, which runs next to a leaf and connects it to the leader of its service.
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

// An HTTP response to the leaf: status and JSON body.
struct LeafResponse {
  unsigned status = 200;
  std::string body;
};
// Responds to a call of the leaf. If it is destroyed without being called, the leaf gets no response.
using LeafReplyCallback = std::function<void(LeafResponse)>;

// Receives the heartbeats of a leaf, reports them to the leader of its service and responds with the leader's
// orders. The response to a heartbeat is deferred for a short time in which orders may still arrive.
//
// Owns the session of the leaf, the reporter and the deferred response. Not thread-safe: all calls are made
// on the runtime's thread.
class WorkerAgent {
 public:
  // Both references must outlive the agent.
  WorkerAgent(Runtime& runtime, const NodeSettings& settings);

  // Starts the search for the leader, so that it is known when the leaf sends its first heartbeat.
  void start();
  // Replaces the seeds (their internal listeners), after a change of the settings.
  void set_seeds(std::vector<Address> seeds) { reporter_.set_seeds(std::move(seeds)); }
  // Replaces the control nodes known from peer sampling, which are probed in addition to seeds and members.
  void set_sampled_control(std::vector<Address> nodes) { reporter_.set_sampled_control(std::move(nodes)); }
  // Handles Instances.Heartbeat. Responds 400 to a body that cannot be parsed, and `{}` to a stale heartbeat.
  // An accepted heartbeat discards the response that is still deferred for an earlier call.
  void on_heartbeat(const std::string& leaf_id, const std::string& body, LeafReplyCallback reply);
  // Handles Instances.Deregister. Always responds 200.
  void on_deregister(const std::string& leaf_id, const LeafReplyCallback& reply);
  // Graceful shutdown: sends the deferred response without orders, and calls `done` after a short delay in
  // which it can be transmitted.
  void shut_down(std::function<void()> done);

  const LeafSession& session() const { return session_; }

 private:
  void process_heartbeat(Heartbeat heartbeat, LeafReplyCallback reply);
  void defer_response(LeafReplyCallback reply);
  // Responds to a heartbeat of a leaf that isn't known yet, as soon as the epoch of a leader is known.
  void respond_to_unconfirmed(LeafReplyCallback reply);
  void send_unconfirmed_response();
  void respond_if_urgent();
  void send_deferred_response();

  Runtime& runtime_;
  LeafSession session_;
  LeaderReporter reporter_;
  LeafReplyCallback deferred_reply_;  // to the newest heartbeat; empty once it was sent
  TimePoint deferred_at_{};
  std::unique_ptr<Timer> response_delay_timer_;
  LeafReplyCallback unconfirmed_reply_;  // to the newest unconfirmed heartbeat; empty once it was sent
  std::unique_ptr<Timer> unconfirmed_timer_;
  bool shutting_down_ = false;
  std::unique_ptr<Timer> shutdown_timer_;
};

}  // namespace winchhall::cluster
