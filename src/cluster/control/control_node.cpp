#include "cluster/control/control_node.hpp"

#include "cluster/common/log.hpp"
#include "cluster/common/service_shard.hpp"
#include "cluster/control/service_replies.hpp"

namespace winchhall::cluster {

namespace {

// Time between leaving the group and the end, in which the last replies and the lease releases are sent.
constexpr Millis kLeaseReleaseDelay{150};
constexpr Millis kSummaryInterval{5000};
// Delay of the first read of the configuration after a start with stored services, so that leaders are
// elected first: parsing thousands of routes takes a small machine as long as an election.
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
  dependencies.list_shards = [&group](ShardListReader::Done done) { group.list_shards(std::move(done)); };
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
  group_.watch_shards([this](const std::string& shard) {
    if (const auto service = service_of_shard(shard)) open_service(*service);
  });
  group_.start();
  if (services_.empty()) {
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
    handle_job_request(request.job_request(), reply);
    return true;
  }
  if (request.has_worker_report()) {
    handle_worker_report(request.worker_report(), reply);
    return true;
  }
  return configuration_.handle(request, reply) || group_.handle(request, reply);
}

ServiceLeader* ControlNode::find_service(const std::string& service) {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second.get();
}

void ControlNode::handle_job_request(const wire::JobRequest& request, const ReplyCallback& reply) {
  if (ServiceLeader* service = find_service(request.service())) return service->handle(request, reply);
  reply(job_not_leader_reply(Address()));
}

void ControlNode::handle_worker_report(const wire::WorkerReport& report, const ReplyCallback& reply) {
  if (ServiceLeader* service = find_service(report.leaf().service())) return service->handle(report, reply);
  reply(report_not_leader_reply(Address()));
}

void ControlNode::shut_down(std::function<void()> done) {
  group_.watch_shards(nullptr);  // opens no further service
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
