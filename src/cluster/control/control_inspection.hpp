// Read access of operators to a running control node.
#pragma once

#include <map>
#include <memory>

#include "cluster/consensus/control_group.hpp"
#include "cluster/control/configuration_service.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/control/service_leader.hpp"

namespace winchhall::cluster {

// The service leaders of a control node, by service name.
using ServiceLeaders = std::map<std::string, std::unique_ptr<ServiceLeader>>;

// Implements NodeInspection by reading the parts of a control node. Owns no state. Only `cancel` has an
// effect: it passes a request to the service's leader as if an agent had sent it.
class ControlInspection : public NodeInspection {
 public:
  // All references must outlive the inspection.
  ControlInspection(const NodeSettings& settings, const ControlGroup& group,
                    const ConfigurationService& configuration, const ServiceLeaders& services)
      : settings_(settings), group_(group), configuration_(configuration), services_(services) {}

  ControlStatus status() const override;
  bool has_quorum_contact() const override { return group_.has_quorum_contact(); }
  Leadership leadership(const std::string& service) const override;
  std::vector<ServiceJobs> jobs(const std::string& service, std::size_t limit) const override;
  std::optional<ServiceJob> job(const std::string& service, const std::string& id) const override;
  std::vector<ServiceLeaves> leaves(const std::string& service) const override;
  void cancel(const std::string& service, const std::string& id,
              std::function<void(CancelOutcome)> done) override;

 private:
  // Returns the leaders of `service` that hold their lease, or those of all services if `service` is empty.
  std::vector<ServiceLeader*> active_leaders(const std::string& service) const;
  ServiceLeader* find_leader_of_job(const std::string& service, const std::string& id) const;

  const NodeSettings& settings_;
  const ControlGroup& group_;
  const ConfigurationService& configuration_;
  const ServiceLeaders& services_;
};

}  // namespace winchhall::cluster
