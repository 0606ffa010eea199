#include "cluster/control/configuration_service.hpp"

#include <utility>

namespace winchhall::cluster {
namespace {

GroupStateSource group_state_of(const ConfigurationDependencies& dependencies) {
  return {dependencies.leaders, dependencies.members, dependencies.has_quorum_contact};
}

}  // namespace

ConfigurationService::ConfigurationService(Runtime& runtime, RegisterClient& registers,
                                           const ConfigurationDependencies& dependencies)
    : runtime_(runtime),
      registers_(registers),
      snapshots_(registers, dependencies.local_registers),
      follower_(runtime, snapshots_, [this] { on_version_advanced(); }),
      proposer_(runtime, registers, snapshots_, follower_, dependencies.members_read_snapshots),
      transfers_(follower_.state().items()),
      watchers_(runtime, follower_.state(), group_state_of(dependencies)),
      service_list_(registers, dependencies.list_shards,
                    [this](const RegisterValue& value) { on_register_value(value); }) {}

void ConfigurationService::put(const std::optional<std::string>& base, std::string body,
                               ChangeCallback done) {
  change(ConfigurationChangeKind::put, base, std::move(body), std::move(done));
}

void ConfigurationService::patch(const std::optional<std::string>& base, std::string body,
                                 ChangeCallback done) {
  change(ConfigurationChangeKind::patch, base, std::move(body), std::move(done));
}

void ConfigurationService::change(ConfigurationChangeKind kind, const std::optional<std::string>& base,
                                  std::string body, ChangeCallback done) {
  const auto reject = [&](const InvalidInput& error) {
    done(ConfigurationOutcome{ConfigurationOutcomeKind::invalid, 0, error});
  };
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(parsed, parse_change(kind, base, std::move(body), runtime_.wall_clock_ms()));
        proposer_.propose(std::move(parsed), std::move(done));
        return {};
      },
      [&](const InvalidInput& error) { reject(error); },
      [&] {
        reject(InvalidInput{"Config", "body", "", "a readable change"});
      });
}

// The value that a read returns was chosen by a majority after the call began.
void ConfigurationService::get(ReadCallback done) {
  const TimePoint deadline = runtime_.now() + kConfigurationQuorumTimeout;
  const auto on_register_read = [this, deadline,
                                 done = std::move(done)](const std::optional<RegisterValue>& chosen) {
    if (!chosen) return done(ConfigurationRead{});
    on_register_value(*chosen);
    const std::uint64_t version = parse_configuration_record(chosen->value).version();
    if (version == 0) return done(ConfigurationRead{ConfigurationReadKind::missing, 0, {}});
    const auto remaining = std::chrono::duration_cast<Millis>(deadline - runtime_.now());
    follower_.when_version_reached(version, remaining, [this, done](bool reached) {
      if (!reached) return done(ConfigurationRead{});
      const ConfigurationState& state = follower_.state();
      done(ConfigurationRead{ConfigurationReadKind::found, state.version(), state.json()});
    });
  };
  registers_.read(kConfigurationRegister, kConfigurationQuorumTimeout, on_register_read);
}

void ConfigurationService::list_services(const ServicesCallback& done) {
  if (!service_list_.is_available()) return done(std::nullopt);
  const TimePoint deadline = runtime_.now() + kConfigurationQuorumTimeout;
  service_list_.read([this, deadline, done](const wire::ServiceList& list) {
    if (!list.complete()) return done(std::nullopt);
    const auto remaining = std::chrono::duration_cast<Millis>(deadline - runtime_.now());
    follower_.when_version_reached(list.configuration_version(), remaining, [this, list, done](bool reached) {
      if (!reached) return done(std::nullopt);
      std::set<std::string> services(list.services().begin(), list.services().end());
      if (newest() != nullptr) {
        for (const Service& service : newest()->services) services.insert(service.name);
      }
      done(services);
    });
  });
}

bool ConfigurationService::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  if (request.has_configuration_watch()) {
    watch(request.configuration_watch(), reply);
    return true;
  }
  if (request.has_configuration_fetch()) {
    transfers_.handle(request.configuration_fetch(), reply);
    return true;
  }
  return false;
}

void ConfigurationService::watch(const wire::ConfigurationWatch& request, const ReplyCallback& reply) {
  if (!request.wants_services() || !service_list_.is_available()) return watchers_.watch(request, reply);
  service_list_.read([this, request, reply](const wire::ServiceList& services) {
    watchers_.watch(request, [services, reply](wire::Envelope answer) {
      *answer.mutable_configuration_update()->mutable_services() = services;
      reply(std::move(answer));
    });
  });
}

void ConfigurationService::on_version_advanced() {
  if (listener_) listener_(*newest());
  watchers_.answer_due_watchers();
}

}  // namespace winchhall::cluster
