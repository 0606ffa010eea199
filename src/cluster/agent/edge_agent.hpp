// Process beside the ingress of an `edge` machine: keeps the link to the control group, feeds the ingress
// with the configuration, and relays its job requests to the services' leaders.
#pragma once

#include <functional>
#include <memory>

#include "cluster/agent/cluster_view.hpp"
#include "cluster/agent/configuration_watch_server.hpp"
#include "cluster/agent/control_directory.hpp"
#include "cluster/agent/control_watcher.hpp"
#include "cluster/agent/job_relay.hpp"
#include "cluster/agent/retry_budget.hpp"
#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

class EdgeAgent {
 public:
  // Of `settings` are used: seeds, internal ports, zone and the grace period.
  EdgeAgent(Runtime& runtime, const NodeSettings& settings);

  void start();
  // Internal listeners of the seeds, after a change of the settings.
  void set_seeds(const std::vector<Address>& seeds) { directory_.set_seeds(seeds); }
  // Control nodes that peer sampling brought up: a further source beside seeds and members.
  void set_sampled_control(const std::vector<Address>& nodes) { directory_.set_sampled(nodes); }
  // Takes ConfigurationWatch, ConfigurationFetch and JobRequest, of the ingress on this machine.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Planned end: serves on for as long as the ingress asks, then calls `done`; shortly before the grace
  // period ends at the latest.
  void shut_down(std::function<void()> done);

  const ClusterView& view() const { return view_; }
  // A control node that hears a majority has answered lately.
  bool in_touch() const { return watcher_.in_touch(); }

 private:
  void on_change(const ViewChanges& changes);
  // Tells the ingress when the control group is lost or found.
  void update_control_link();
  void check_control_link();
  void check_shutdown();
  bool is_ingress_idle() const;

  Runtime& runtime_;
  NodeSettings settings_;
  ClusterView view_;
  ControlDirectory directory_;
  ControlWatcher watcher_;
  ConfigurationWatchServer watch_server_;
  RetryBudget budget_;
  JobRelay relay_;
  TimePoint last_ingress_call_;
  bool in_touch_ = false;
  std::unique_ptr<Timer> link_timer_;
  TimePoint end_;
  std::function<void()> done_;
  std::unique_ptr<Timer> end_timer_;
};

}  // namespace winchhall::cluster
