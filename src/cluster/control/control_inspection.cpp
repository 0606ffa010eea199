#include "cluster/control/control_inspection.hpp"

#include "cluster/common/service_shard.hpp"
#include "cluster/consensus/member_record.hpp"

namespace winchhall::cluster {

namespace {

CancelOutcome cancel_outcome_of(const wire::Envelope& answer) {
  switch (answer.job_reply().outcome()) {
    case wire::JOB_OK:
      return CancelOutcome::canceled;
    case wire::JOB_NOT_FOUND:
      return CancelOutcome::not_found;
    default:
      return CancelOutcome::unavailable;
  }
}

}  // namespace

ControlStatus ControlInspection::status() const {
  ControlStatus status;
  status.node = settings_.node_name;
  status.zone = settings_.zone;
  status.member_id = group_.member_id();
  status.votes = group_.votes();
  status.has_quorum_contact = group_.has_quorum_contact();
  if (const Configuration* newest = configuration_.newest()) status.configuration_version = newest->version;
  status.members = group_.members();
  status.leaders = group_.leaders();
  for (const auto& [name, service] : services_) status.services.push_back(service->status());
  return status;
}

Leadership ControlInspection::leadership(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return {LeadershipKind::no_such_service, {}};
  if (found->second->leads()) return {LeadershipKind::this_node, {}};
  for (const wire::ShardLeader& leader : group_.leaders()) {
    if (leader.shard() != shard_of_service(service) || leader.holder() == group_.member_id()) continue;
    const wire::Member* member = find_member(group_.members(), leader.holder());
    const bool reachable = member != nullptr && !member->http_address().empty();
    if (reachable) return {LeadershipKind::other_node, member->http_address()};
  }
  return {LeadershipKind::unknown, {}};
}

std::vector<ServiceLeader*> ControlInspection::active_leaders(const std::string& service) const {
  std::vector<ServiceLeader*> leaders;
  for (const auto& [name, leader] : services_) {
    if (!leader->leads()) continue;
    if (service.empty() || service == name) leaders.push_back(leader.get());
  }
  return leaders;
}

std::vector<ServiceJobs> ControlInspection::jobs(const std::string& service, std::size_t limit) const {
  std::vector<ServiceJobs> jobs;
  for (const ServiceLeader* leader : active_leaders(service)) {
    jobs.push_back({leader->service(), leader->scheduler()->jobs(limit)});
  }
  return jobs;
}

std::optional<ServiceJob> ControlInspection::job(const std::string& service, const std::string& id) const {
  const ServiceLeader* leader = find_leader_of_job(service, id);
  if (leader == nullptr) return std::nullopt;
  return ServiceJob{leader->service(), *leader->scheduler()->job(id)};
}

std::vector<ServiceLeaves> ControlInspection::leaves(const std::string& service) const {
  std::vector<ServiceLeaves> leaves;
  for (const ServiceLeader* leader : active_leaders(service)) {
    leaves.push_back({leader->service(), leader->leaves()});
  }
  return leaves;
}

ServiceLeader* ControlInspection::find_leader_of_job(const std::string& service,
                                                     const std::string& id) const {
  for (ServiceLeader* leader : active_leaders(service)) {
    if (leader->scheduler()->state(id) != wire::JOB_UNKNOWN) return leader;
  }
  return nullptr;
}

void ControlInspection::cancel(const std::string& service, const std::string& id,
                               std::function<void(CancelOutcome)> done) {
  ServiceLeader* leader = find_leader_of_job(service, id);
  if (leader == nullptr) return done(CancelOutcome::not_found);
  wire::JobRequest request;
  request.set_verb(wire::JOB_CANCEL);
  request.set_service(leader->service());
  request.set_id(id);
  leader->handle(request,
                 [done = std::move(done)](const wire::Envelope& answer) { done(cancel_outcome_of(answer)); });
}

}  // namespace winchhall::cluster
