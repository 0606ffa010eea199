// The operator's configuration on a control node: changes by compare-and-swap on the register
// "configuration", reads through a majority, and the newest chosen version for everyone who asks for it.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/consensus/register_client.hpp"
#include "cluster/control/configuration_change.hpp"
#include "cluster/control/configuration_snapshots.hpp"
#include "cluster/control/configuration_state.hpp"
#include "cluster/control/configuration_watchers.hpp"
#include "cluster/delivery/configuration_transfer_server.hpp"

namespace winchhall::cluster {

// Key of the register.
inline constexpr const char* kConfigurationRegister = "configuration";

// How a read ended; `missing`: no configuration was ever taken.
enum class ConfigurationReadKind { found, missing, unavailable };

struct ConfigurationRead {
  ConfigurationReadKind kind = ConfigurationReadKind::unavailable;
  std::uint64_t version = 0;
  std::string json;
};

// What the service needs of its node beside the registers.
struct ConfigurationDependencies {
  // What watchers are told besides the version. All must be set.
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> has_quorum_contact;
  // All members of the control group read records with snapshots.
  std::function<bool()> members_read_snapshots = [] { return true; };
  LocalRegisterReplicas local_registers = {};
};

class ConfigurationService {
 public:
  using ChangeCallback = std::function<void(ConfigurationOutcome)>;
  using ReadCallback = std::function<void(ConfigurationRead)>;
  using ConfigurationListener = std::function<void(const Configuration&)>;

  // All references outlive the service.
  ConfigurationService(Runtime& runtime, RegisterClient& registers,
                       const ConfigurationDependencies& dependencies);

  // Changes the configuration. `base`: text of the header X-Winchhall-Base-Version; none: not sent. `done` is
  // called once, perhaps from within this call; `unavailable` after at most 3.5 s.
  void put(const std::optional<std::string>& base, std::string body, ChangeCallback done);
  void patch(const std::optional<std::string>& base, std::string body, ChangeCallback done);
  // The newest configuration, as a majority knows it.
  void get(ReadCallback done);

  // A chosen value of the register became known here. Older values than the newest known are ignored.
  void on_register_value(const RegisterValue& value);
  // Leaders or members may have changed: watchers are told. Also noticed by itself within 50 ms.
  void on_leaders_changed() { watchers_.check(); }
  // Handles ConfigurationWatch and ConfigurationFetch requests.
  bool handle(const wire::Envelope& request, const ReplyCallback& reply);
  // Answers all watchers, for a planned end of the process.
  void stop() { watchers_.answer_all(); }

  // Newest configuration known here; null: none yet.
  const Configuration* newest() const { return state_.configuration(); }
  // Called with each newer configuration that becomes known here.
  void set_listener(ConfigurationListener listener) { listener_ = std::move(listener); }

 private:
  // What a change lacked at the record that it found.
  enum class MissingPrerequisite { nothing, base, snapshot };

  // A change on its way.
  struct ChangeAttempt {
    ConfigurationChange change;
    ChangeCallback done;
    TimePoint end;
    // Of the newest attempt.
    ConfigurationOutcome outcome;
    MissingPrerequisite lack = MissingPrerequisite::nothing;
    wire::ConfigurationRecord found;
    std::string snapshot;
    // Snapshots that a majority has.
    std::set<std::string> written;
  };
  using ChangeAttemptPtr = std::shared_ptr<ChangeAttempt>;

  // Waits for the state to reach a version.
  struct Waiting {
    std::uint64_t version = 0;
    std::function<void(bool reached)> done;
    std::unique_ptr<Timer> timer;
  };

  void change(ConfigurationChangeKind kind, const std::optional<std::string>& base, std::string body,
              ChangeCallback done);
  void propose(const ChangeAttemptPtr& proposal);
  std::optional<std::string> compute(ChangeAttempt& proposal, const std::string& current) const;
  void proposed(const ChangeAttemptPtr& proposal, const std::optional<RegisterValue>& chosen);
  void write_snapshot(const ChangeAttemptPtr& proposal);
  Millis left(const ChangeAttempt& proposal) const;

  // A chosen record becomes known.
  void take(const wire::ConfigurationRecord& record);
  void fetch_snapshot(const wire::ConfigurationRecord& record);
  void fetched(const std::optional<std::string>& json);
  void on_newer();
  void when_version_reached(std::uint64_t version, Millis limit, std::function<void(bool reached)> done);

  Runtime& runtime_;
  RegisterClient& registers_;
  std::function<bool()> members_read_snapshots_;
  ConfigurationSnapshots snapshots_;
  ConfigurationState state_;
  ConfigurationTransferServer differences_{state_.items()};
  ConfigurationWatchers watchers_;
  ConfigurationListener listener_;
  std::list<Waiting> waiting_;
  std::optional<wire::ConfigurationRecord> wanted_;  // newest record whose snapshot is being fetched
  std::unique_ptr<Timer> fetch_timer_;
  bool fetching_ = false;
};

}  // namespace winchhall::cluster
