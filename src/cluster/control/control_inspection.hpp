// Answers operators' questions from the state of a control node.
#pragma once

#include <map>
#include <memory>

#include "cluster/consensus/control_group.hpp"
#include "cluster/control/configuration_service.hpp"
#include "cluster/control/node_inspection.hpp"
#include "cluster/control/service_leader.hpp"

namespace winchhall::cluster {

using ServiceLeaders = std::map<std::string, std::unique_ptr<ServiceLeader>>;

class ControlInspection : public NodeInspection {
 public:
  // All references outlive the inspection.
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
  // Services led here; `service` empty: all of them.
  std::vector<ServiceLeader*> led(const std::string& service) const;
  ServiceLeader* find_leader_of_job(const std::string& service, const std::string& id) const;

  const NodeSettings& settings_;
  const ControlGroup& group_;
  const ConfigurationService& configuration_;
  const ServiceLeaders& services_;
};

}  // namespace winchhall::cluster
