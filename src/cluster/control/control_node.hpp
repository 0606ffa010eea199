// The control process: member of the control group, operator's API, leader of services while it holds their
// leases.
#pragma once

#include <memory>
#include <string>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/control_group.hpp"
#include "cluster/control/control_inspection.hpp"
#include "cluster/control/operator_api.hpp"
#include "cluster/control/service_leader.hpp"

namespace winchhall::cluster {

// What the configuration service needs of the group on its node.
ConfigurationDependencies configuration_dependencies_of(ControlGroup& group);

class ControlNode {
 public:
  // All references outlive the node.
  ControlNode(Runtime& runtime, DurableStore& store, const NodeSettings& settings);

  void start();
  // Internal listeners of the seeds, after a change of the settings.
  void set_seeds(std::vector<Address> seeds) { group_.set_seeds(std::move(seeds)); }
  // Control nodes that peer sampling brought up: a further source beside seeds and members.
  void set_sampled_control(std::vector<Address> nodes) { group_.set_sampled_control(std::move(nodes)); }
  // Requests of other processes.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Calls of operators.
  void handle_http(const HttpRequest& request, const HttpReplyCallback& reply) {
    api_.handle(request, reply);
  }
  // What operators may see.
  const NodeInspection& inspection() const { return inspection_; }
  // Gives up all leases and answers whoever waits, then calls `done`.
  void shut_down(std::function<void()> done);

 private:
  void open_service(const std::string& service);
  void open_services(const Configuration& configuration);
  void watch_configuration();
  ServiceLeader* find_service(const std::string& service);
  void handle_job(const wire::JobRequest& request, const ReplyCallback& reply);
  void handle_report(const wire::WorkerReport& report, const ReplyCallback& reply);
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
