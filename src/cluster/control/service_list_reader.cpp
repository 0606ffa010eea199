#include "cluster/control/service_list_reader.hpp"

#include <utility>

#include "cluster/common/service_shard.hpp"
#include "cluster/consensus/ballot.hpp"
#include "cluster/control/configuration_register.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kVersionReadTimeout{500};

wire::ServiceList complete_list(const ShardList& shards, std::uint64_t configuration_version) {
  wire::ServiceList list;
  list.set_complete(true);
  list.set_configuration_version(configuration_version);
  for (const std::string& shard : shards.shards) {
    if (const auto service = service_of_shard(shard)) list.add_services(*service);
  }
  return list;
}

}  // namespace

ServiceListReader::ServiceListReader(RegisterClient& registers, ShardLister list_shards,
                                     ConfigurationListener on_configuration)
    : registers_(registers),
      list_shards_(std::move(list_shards)),
      on_configuration_(std::move(on_configuration)) {}

void ServiceListReader::read(Done done) {
  list_shards_([this, done = std::move(done)](const std::optional<ShardList>& shards) {
    if (!shards) return done(wire::ServiceList());
    read_version(shards->accepted_configuration,
                 [done, shards = *shards](const std::optional<std::uint64_t>& version) {
                   done(version ? complete_list(shards, *version) : wire::ServiceList());
                 });
  });
}

// Every read of a register raises the ballot that its acceptors promise, which delays changes of it. So it is
// read only after it has changed.
void ServiceListReader::read_version(const wire::Ballot& accepted,
                                     const std::function<void(std::optional<std::uint64_t>)>& done) {
  if (!is_lower(newest_.ballot, accepted)) return done(newest_.version);
  registers_.read(kConfigurationRegister, kVersionReadTimeout,
                  [this, done](const std::optional<RegisterValue>& chosen) {
                    if (!chosen) return done(std::nullopt);
                    on_configuration_read(*chosen);
                    done(newest_.version);
                  });
}

void ServiceListReader::on_configuration_read(const RegisterValue& value) {
  on_configuration_(value);
  if (!is_lower(newest_.ballot, value.ballot)) return;
  newest_ = {value.ballot, parse_configuration_record(value.value).version()};
}

}  // namespace winchhall::cluster
