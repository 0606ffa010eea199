#include "cluster/control/control_node.hpp"

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kLeaseReleaseDelay{150};  // for the last answers and the release of the leases to leave
constexpr Millis kSummaryInterval{5000};
// After a start, services that were led here or elsewhere find a leader before the configuration is read:
// reading thousands of routes keeps a small machine busy for as long as an election takes.
constexpr Millis kConfigurationReadDelay{400};

}  // namespace

ConfigurationDependencies configuration_dependencies_of(ControlGroup& group) {
  ConfigurationDependencies dependencies;
  dependencies.leaders = [&group] { return group.leaders(); };
  dependencies.members = [&group] {
    const auto& members = group.members().members();
    return std::vector<wire::Member>(members.begin(), members.end());
  };
  dependencies.has_quorum_contact = [&group] { return group.has_quorum_contact(); };
  dependencies.members_read_snapshots = [&group] { return group.members_read_snapshots(); };
  dependencies.local_registers.chosen = [&group](const std::string& key) {
    return group.locally_known_value(key);
  };
  dependencies.local_registers.drop = [&group](const std::function<bool(const std::string&)>& unneeded) {
    group.drop_registers(unneeded);
  };
  return dependencies;
}

ControlNode::ControlNode(Runtime& runtime, DurableStore& store, const NodeSettings& settings)
    : runtime_(runtime),
      settings_(settings),
      group_(runtime, store, settings_),
      configuration_(runtime, group_.registers(), configuration_dependencies_of(group_)),
      inspection_(settings_, group_, configuration_, services_),
      api_(configuration_, inspection_) {}

void ControlNode::start() {
  configuration_.set_listener([this](const Configuration& configuration) { open_services(configuration); });
  group_.start();
  const std::vector<std::string> services = services_of(group_.stored_shards());
  for (const std::string& service : services) open_service(service);
  if (services.empty()) {
    watch_configuration();
  } else {
    watch_timer_ = runtime_.after(kConfigurationReadDelay, [this] { watch_configuration(); });
  }
  schedule_summary();
}

void ControlNode::watch_configuration() {
  group_.watch_register(kConfigurationRegister,
                        [this](const RegisterValue& value) { configuration_.on_register_value(value); });
}

void ControlNode::open_service(const std::string& service) {
  std::unique_ptr<ServiceLeader>& leader = services_[service];
  if (!leader) leader = std::make_unique<ServiceLeader>(runtime_, group_, settings_, service);
}

void ControlNode::open_services(const Configuration& configuration) {
  log_event(LogLevel::info, "configuration", {{"version", static_cast<std::int64_t>(configuration.version)}});
  for (const Service& service : configuration.services) open_service(service.name);
}

bool ControlNode::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  if (request.has_job_request()) {
    handle_job(request.job_request(), reply);
    return true;
  }
  if (request.has_worker_report()) {
    handle_report(request.worker_report(), reply);
    return true;
  }
  return configuration_.handle(request, reply) || group_.handle(request, reply);
}

ServiceLeader* ControlNode::find_service(const std::string& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

void ControlNode::handle_job(const wire::JobRequest& request, const ReplyCallback& reply) {
  if (ServiceLeader* service = find_service(request.service())) return service->handle(request, reply);
  wire::Envelope answer;
  answer.mutable_job_reply()->set_outcome(wire::JOB_NOT_LEADER);
  reply(std::move(answer));
}

void ControlNode::handle_report(const wire::WorkerReport& report, const ReplyCallback& reply) {
  if (ServiceLeader* service = find_service(report.leaf().service())) return service->handle(report, reply);
  wire::Envelope answer;
  answer.mutable_worker_orders();
  reply(std::move(answer));
}

void ControlNode::shut_down(std::function<void()> done) {
  for (const auto& [name, service] : services_) service->step_down();
  configuration_.stop();
  group_.leave(settings_.bounds.grace_period / 3, [this, done = std::move(done)] {
    shut_down_timer_ = runtime_.after(kLeaseReleaseDelay, [this, done] {
      group_.stop();
      done();
    });
  });
}

void ControlNode::schedule_summary() {
  summary_timer_ = runtime_.after(kSummaryInterval, [this] {
    for (const auto& [name, service] : services_) {
      const std::string summary = service->summary();
      if (!summary.empty()) log_event(LogLevel::info, "summary", {{"service", name}, {"figures", summary}});
    }
    schedule_summary();
  });
}

}  // namespace winchhall::cluster
