// The control process: member of the control group, operator's API, leader of services while it holds their
// leases.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "cluster/common/settings.hpp"
#include "cluster/consensus/control_group.hpp"
#include "cluster/control/operator_api.hpp"
#include "cluster/control/service_leader.hpp"

namespace winchhall::cluster {

class ControlNode {
 public:
  // All references outlive the node.
  ControlNode(Runtime& runtime, DurableStore& store, const NodeSettings& settings);

  void start();
  // Requests of other processes.
  bool handle(const wire::Envelope& request, const Replier& reply);
  // Calls of operators.
  void handle_http(const HttpRequest& request, const HttpReplier& reply) { api_.handle(request, reply); }
  // Gives up all leases and answers whoever waits, then calls `done`.
  void shut_down(std::function<void()> done);

 private:
  void open_services(const Configuration& configuration);
  ServiceLeader* find_service(const std::string& service);
  void handle_job(const wire::JobRequest& request, const Replier& reply);
  void handle_report(const wire::WorkerReport& report, const Replier& reply);
  void schedule_summary();

  Runtime& runtime_;
  NodeSettings settings_;
  ControlGroup group_;
  ConfigurationService configuration_;
  OperatorApi api_;
  std::map<std::string, std::unique_ptr<ServiceLeader>> services_;
  std::unique_ptr<Timer> shut_down_timer_;
  std::unique_ptr<Timer> summary_timer_;
};

}  // namespace winchhall::cluster
