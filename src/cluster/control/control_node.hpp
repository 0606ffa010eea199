// The control process: a member of the control group that serves the operator API and leads services.
#pragma once

#include <memory>
#include <string>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/control_group.hpp"
#include "cluster/control/control_inspection.hpp"
#include "cluster/control/operator_api.hpp"
#include "cluster/control/service_leader.hpp"

namespace winchhall::cluster {

// Connects the configuration service to the control group on its node. `group` must outlive the result.
ConfigurationDependencies configuration_dependencies_of(ControlGroup& group);

// Creates the components of a control process and dispatches requests to them: the control group (consensus,
// membership, leases), the configuration service, one leader for each service of the configuration, and the
// operator API.
//
// Owns all of these. The components refer to one another by reference, so the order of the members matters:
// the group outlives the components that use its registers and shards. Single-threaded: all calls come from
// the event loop.
//
// A service is opened when the configuration names it, and when this node has a replica of its shard,
// whichever way it got it. It is never closed: one that is removed from the configuration still has its jobs,
// and this node may lead it.
class ControlNode {
 public:
  // `runtime` and `store` must outlive the node.
  ControlNode(Runtime& runtime, DurableStore& store, const NodeSettings& settings);

  // Joins the group, opens the services whose shards are stored on this node, and starts to follow the
  // configuration and the shards that it gets. Called once.
  void start();
  // Replaces the seeds (addresses of their internal listeners), after a change of the settings.
  void set_seeds(std::vector<Address> seeds) { group_.set_seeds(std::move(seeds)); }
  // Replaces the control nodes found by peer sampling, which are contacted in addition to seeds and members.
  void set_sampled_control(std::vector<Address> nodes) { group_.set_sampled_control(std::move(nodes)); }
  // Handles a request of another process. Returns false if this process doesn't handle requests of this kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Handles a request to the operator API.
  void handle_http(const HttpRequest& request, const HttpReplyCallback& reply) {
    api_.handle(request, reply);
  }
  // Read access to this node for the operator API and the metrics; valid as long as the node.
  const NodeInspection& inspection() const { return inspection_; }
  // Graceful shutdown: gives up all leases, answers pending requests, and leaves the group if the group can
  // do without this member. Calls `done` once, at the latest after a third of the grace period plus 150 ms.
  void shut_down(std::function<void()> done);

 private:
  void open_service(const std::string& service);
  void open_services(const Configuration& configuration);
  void watch_configuration();
  ServiceLeader* find_service(const std::string& service);
  void handle_job_request(const wire::JobRequest& request, const ReplyCallback& reply);
  void handle_worker_report(const wire::WorkerReport& report, const ReplyCallback& reply);
  void schedule_summary();

  Runtime& runtime_;
  NodeSettings settings_;
  ControlGroup group_;
  ConfigurationService configuration_;
  ServiceLeaders services_;
  ControlInspection inspection_;
  OperatorApi api_;
  std::unique_ptr<Timer> shut_down_timer_;
  std::unique_ptr<Timer> summary_timer_;
  std::unique_ptr<Timer> watch_timer_;
};

}  // namespace winchhall::cluster
