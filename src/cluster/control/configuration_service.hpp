// The configuration service of a control node: operators' changes and reads, and delivery to agents and
// ingresses.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/consensus/register_client.hpp"
#include "cluster/control/configuration_change.hpp"
#include "cluster/control/configuration_follower.hpp"
#include "cluster/control/configuration_proposer.hpp"
#include "cluster/control/configuration_register.hpp"
#include "cluster/control/configuration_snapshots.hpp"
#include "cluster/control/configuration_watchers.hpp"
#include "cluster/control/service_list_reader.hpp"
#include "cluster/delivery/configuration_transfer_server.hpp"

namespace winchhall::cluster {

// Kind of the result of a read.
enum class ConfigurationReadKind {
  found,
  missing,     // no configuration was ever applied
  unavailable  // no majority answered in time
};

// Result of a read. `version` and `json` (the complete configuration) are set only for `found`.
struct ConfigurationRead {
  ConfigurationReadKind kind = ConfigurationReadKind::unavailable;
  std::uint64_t version = 0;
  std::string json;
};

// Functions of the control node that the service calls, apart from the register client.
struct ConfigurationDependencies {
  // State that is sent to watchers together with the configuration. All three must be set.
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> has_quorum_contact;
  // Returns true once every member of the control group can read records that name snapshots.
  std::function<bool()> members_read_snapshots = [] { return true; };
  LocalRegisterReplicas local_registers = {};
  // Empty: watchers that want the services are answered as by a version that doesn't know them.
  ServiceListReader::ShardLister list_shards = {};
};

// The configuration service of one control node. Every control node runs one, and each of them serves
// operators and watchers: the configuration has no leader.
//
// Durability: a change is acknowledged as `applied` only once its record is chosen, which means that the
// record and the snapshot that it names are durable on a majority of the members. The outcome `unavailable`
// leaves open whether the change takes effect; the same change may be sent again, which has the same result.
// A read returns a version that is no older than any that was acknowledged or read before the call began.
//
// Owns the configuration state, the proposer, the watchers and the transfers to fetching callers.
// Single-threaded: all calls and callbacks happen on the event loop. Pending updates of the register client
// refer to the service and must not call back after its destruction.
class ConfigurationService {
 public:
  using ChangeCallback = ConfigurationProposer::ChangeCallback;
  using ReadCallback = std::function<void(ConfigurationRead)>;
  using ServicesCallback = std::function<void(const std::optional<std::set<std::string>>&)>;
  using ConfigurationListener = std::function<void(const Configuration&)>;

  // `runtime` and `registers` must outlive the service.
  ConfigurationService(Runtime& runtime, RegisterClient& registers,
                       const ConfigurationDependencies& dependencies);

  // Replaces the whole configuration (`put`) or named items of it (`patch`). `base` is the text of the header
  // X-Winchhall-Base-Version; a missing header counts as version 0. `done` is called exactly once, possibly
  // before this call returns, and with `unavailable` after at most kConfigurationQuorumTimeout.
  void put(const std::optional<std::string>& base, std::string body, ChangeCallback done);
  void patch(const std::optional<std::string>& base, std::string body, ChangeCallback done);
  // Reads the newest configuration from a majority. `done` is called as for `put`.
  void get(ReadCallback done);
  // Reads the names of all services that may hold jobs: those of the newest configuration, and those with
  // records, also of services that were deleted. `done` is called as for `put`, with none if no majority
  // answered in time.
  void list_services(const ServicesCallback& done);

  // Applies a value of the register "configuration" that is known to be chosen. A version that isn't newer is
  // ignored.
  void on_register_value(const RegisterValue& value) { follower_.on_chosen(value); }
  // Notifies the watchers whose leaders or members are out of date. Without this call, a change is detected
  // within 50 ms.
  void on_leaders_changed() { watchers_.answer_due_watchers(); }
  // Handles ConfigurationWatch and ConfigurationFetch requests. A watch that wants the services is answered
  // once they are read from a majority. Returns false for requests of other kinds.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Answers all watchers. Called once, during a graceful shutdown.
  void stop() { watchers_.answer_all(); }

  // Returns the newest configuration known on this node, which may be older than that of a majority; null if
  // none is known yet.
  const Configuration* newest() const { return follower_.state().configuration(); }
  // `listener` is called with each newer configuration that becomes known on this node, before its watchers
  // are answered. Replaces an earlier listener.
  void set_listener(ConfigurationListener listener) { listener_ = std::move(listener); }

 private:
  void change(ConfigurationChangeKind kind, const std::optional<std::string>& base, std::string body,
              ChangeCallback done);
  void watch(const wire::ConfigurationWatch& request, const ReplyCallback& reply);
  void on_version_advanced();

  Runtime& runtime_;
  RegisterClient& registers_;
  ConfigurationSnapshots snapshots_;
  ConfigurationFollower follower_;
  ConfigurationProposer proposer_;
  ConfigurationTransferServer transfers_;
  ConfigurationWatchers watchers_;
  ServiceListReader service_list_;
  ConfigurationListener listener_;
};

}  // namespace winchhall::cluster
