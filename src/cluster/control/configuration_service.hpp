// The operator's configuration on a control node: changes, reads, and delivery to agents and ingresses.
#pragma once

#include <functional>
#include <optional>
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
#include "cluster/delivery/configuration_transfer_server.hpp"

namespace winchhall::cluster {

// How a read ended. `missing`: no configuration was ever applied; `unavailable`: no majority answered in
// time.
enum class ConfigurationReadKind { found, missing, unavailable };

struct ConfigurationRead {
  ConfigurationReadKind kind = ConfigurationReadKind::unavailable;
  std::uint64_t version = 0;
  std::string json;
};

// What the service needs of its node besides the registers.
struct ConfigurationDependencies {
  // Sent to watchers along with the configuration. All three must be set.
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> has_quorum_contact;
  // True once every member of the control group reads records that name snapshots.
  std::function<bool()> members_read_snapshots = [] { return true; };
  LocalRegisterReplicas local_registers = {};
};

// The configuration service of one control node. Every control node runs one, and all of them serve operators
// and watchers: the configuration has no leader.
//
// Durability: a change is acknowledged as `applied` once its record is chosen, that is durable on a majority
// of the members; so is the snapshot that the record names. An answer of `unavailable` leaves open whether
// the change takes effect; the same change may be sent again and ends the same way. A read returns a version
// that is no older than any that was acknowledged or read before the call began.
//
// Owns the state, the proposer, the watchers and the transfers to fetching callers. Single-threaded: all
// calls and callbacks happen on the event loop. Pending updates of the register client refer to the service:
// none of them may call back after the service is gone.
class ConfigurationService {
 public:
  using ChangeCallback = ConfigurationProposer::ChangeCallback;
  using ReadCallback = std::function<void(ConfigurationRead)>;
  using ConfigurationListener = std::function<void(const Configuration&)>;

  // `runtime` and `registers` outlive the service.
  ConfigurationService(Runtime& runtime, RegisterClient& registers,
                       const ConfigurationDependencies& dependencies);

  // Replaces the whole configuration (`put`) or named items of it (`patch`). `base`: text of the header
  // X-Winchhall-Base-Version; none: not sent, which counts as version 0. `done` is called once, perhaps from
  // within this call; with `unavailable` after at most kConfigurationQuorumTimeout.
  void put(const std::optional<std::string>& base, std::string body, ChangeCallback done);
  void patch(const std::optional<std::string>& base, std::string body, ChangeCallback done);
  // Reads the newest configuration through a majority. `done` as above.
  void get(ReadCallback done);

  // A value of the register "configuration" is known to be chosen. Versions that aren't newer are ignored.
  void on_register_value(const RegisterValue& value) { follower_.on_chosen(value); }
  // Leaders or members may have changed: answers the watchers that this concerns. Changes are also noticed
  // without this call, within 50 ms.
  void on_leaders_changed() { watchers_.check(); }
  // Handles ConfigurationWatch and ConfigurationFetch requests; false: a request of another kind.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Answers all watchers. Called once, at a graceful shutdown.
  void stop() { watchers_.answer_all(); }

  // Newest configuration known on this node, perhaps older than that of a majority; null: none yet.
  const Configuration* newest() const { return follower_.state().configuration(); }
  // `listener` is called with each newer configuration that becomes known on this node, before its watchers
  // are answered. Replaces an earlier listener.
  void set_listener(ConfigurationListener listener) { listener_ = std::move(listener); }

 private:
  void change(ConfigurationChangeKind kind, const std::optional<std::string>& base, std::string body,
              ChangeCallback done);
  void on_version_advanced();

  Runtime& runtime_;
  RegisterClient& registers_;
  ConfigurationSnapshots snapshots_;
  ConfigurationFollower follower_;
  ConfigurationProposer proposer_;
  ConfigurationTransferServer transfers_;
  ConfigurationWatchers watchers_;
  ConfigurationListener listener_;
};

}  // namespace winchhall::cluster
