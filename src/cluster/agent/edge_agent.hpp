// Agent of an `edge` machine: a process on the same machine as the ingress (sub-command `agent`).
#pragma once

#include <functional>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/configuration_watch_server.hpp"
#include "cluster/agent/control_directory.hpp"
#include "cluster/agent/control_watcher.hpp"
#include "cluster/agent/job_relay.hpp"
#include "cluster/agent/retry_budget.hpp"
#include "cluster/agent/service_list_fetcher.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// Follows the control group, serves the configuration to the ingress and relays the ingress's job requests to
// the leaders of the services. Owns the view of the cluster and all components of the agent. Not thread-safe:
// all calls are made on the runtime's thread.
class EdgeAgent {
 public:
  // Uses the settings' seeds, internal ports, zone and grace period. `runtime` must outlive the
  // agent.
  EdgeAgent(Runtime& runtime, const NodeSettings& settings);

  // Starts following the control group.
  void start();
  // Replaces the seeds (their internal listeners), after a change of the settings.
  void set_seeds(const std::vector<Address>& seeds) { directory_.set_seeds(seeds); }
  // Replaces the control nodes known from peer sampling, which are used besides seeds and members.
  void set_sampled_control(const std::vector<Address>& nodes) { directory_.set_sampled(nodes); }
  // Handles a ConfigurationWatch, ConfigurationFetch or JobRequest of the ingress on this machine. Returns
  // false for any other kind of request.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Graceful shutdown: serves until the ingress has stopped calling, or until shortly before the end of the
  // grace period; then calls `done`. Further calls have no effect.
  void shut_down(std::function<void()> done);

  const ClusterView& view() const { return view_; }
  // See ControlWatcher::has_quorum_contact.
  bool has_quorum_contact() const { return watcher_.has_quorum_contact(); }

 private:
  void on_change(const ViewChanges& changes);
  // Logs a change of the quorum contact and passes it on to the ingress.
  void update_quorum_contact();
  // Checks the quorum contact periodically, because no event reports its loss.
  void check_quorum_contact();
  void check_shutdown();
  bool is_ingress_idle() const;

  Runtime& runtime_;
  NodeSettings settings_;
  ClusterView view_;
  ControlDirectory directory_;
  ControlWatcher watcher_;
  ConfigurationWatchServer watch_server_;
  RetryBudget budget_;
  ServiceListFetcher service_lists_;
  JobRelay relay_;
  TimePoint last_ingress_call_;
  bool had_quorum_contact_ = false;  // at the last check
  std::unique_ptr<Timer> contact_timer_;
  std::function<void()> shutdown_done_;  // empty: not shutting down
  TimePoint shutdown_deadline_;
  std::unique_ptr<Timer> shutdown_timer_;
};

}  // namespace winchhall::cluster
