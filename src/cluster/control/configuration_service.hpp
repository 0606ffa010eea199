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
#include "cluster/delivery/difference_server.hpp"

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
struct ConfigurationSurroundings {
  // What watchers are told besides the version. All must be set.
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> in_touch;
  // All members of the control group read records with snapshots.
  std::function<bool()> members_read_snapshots = [] { return true; };
  LocalRegisters local_registers = {};
};

class ConfigurationService {
 public:
  using ChangeDone = std::function<void(ConfigurationOutcome)>;
  using ReadDone = std::function<void(ConfigurationRead)>;
  using NewestListener = std::function<void(const Configuration&)>;

  // All references outlive the service.
  ConfigurationService(Runtime& runtime, RegisterClient& registers,
                       const ConfigurationSurroundings& surroundings);

  // Changes the configuration. `base`: text of the header X-Winchhall-Base-Version; none: not sent. `done` is
  // called once, perhaps from within this call; `unavailable` after at most 3.5 s.
  void put(const std::optional<std::string>& base, std::string body, ChangeDone done);
  void patch(const std::optional<std::string>& base, std::string body, ChangeDone done);
  // The newest configuration, as a majority knows it.
  void get(ReadDone done);

  // A chosen value of the register became known here. Older values than the newest known are ignored.
  void on_register_value(const RegisterValue& value);
  // Leaders or members may have changed: watchers are told. Also noticed by itself within 50 ms.
  void on_leaders_changed() { watchers_.check(); }
  // Handles ConfigurationWatch and ConfigurationFetch requests.
  bool handle(const wire::Envelope& request, const Replier& reply);
  // Answers all watchers, for a planned end of the process.
  void stop() { watchers_.answer_all(); }

  // Newest configuration known here; null: none yet.
  const Configuration* newest() const { return state_.configuration(); }
  // Called with each newer configuration that becomes known here.
  void set_listener(NewestListener listener) { listener_ = std::move(listener); }

 private:
  // What a change lacked at the record that it found.
  enum class Lack { nothing, base, snapshot };

  // A change on its way.
  struct Proposal {
    ConfigurationChange change;
    ChangeDone done;
    TimePoint end;
    // Of the newest attempt.
    ConfigurationOutcome outcome;
    Lack lack = Lack::nothing;
    wire::ConfigurationRecord found;
    std::string snapshot;
    // Snapshots that a majority has.
    std::set<std::string> written;
  };
  using ProposalPtr = std::shared_ptr<Proposal>;

  // Waits for the state to reach a version.
  struct Waiting {
    std::uint64_t version = 0;
    std::function<void(bool reached)> done;
    std::unique_ptr<Timer> timer;
  };

  void change(ConfigurationChangeKind kind, const std::optional<std::string>& base, std::string body,
              ChangeDone done);
  void propose(const ProposalPtr& proposal);
  std::optional<std::string> compute(Proposal& proposal, const std::string& current) const;
  void proposed(const ProposalPtr& proposal, const std::optional<RegisterValue>& chosen);
  void write_snapshot(const ProposalPtr& proposal);
  Millis left(const Proposal& proposal) const;

  // A chosen record becomes known.
  void take(const wire::ConfigurationRecord& record);
  void fetch_snapshot(const wire::ConfigurationRecord& record);
  void fetched(const std::optional<std::string>& json);
  void on_newer();
  void when_at(std::uint64_t version, Millis limit, std::function<void(bool reached)> done);

  Runtime& runtime_;
  RegisterClient& registers_;
  std::function<bool()> members_read_snapshots_;
  ConfigurationSnapshots snapshots_;
  ConfigurationState state_;
  DifferenceServer differences_{state_.items()};
  ConfigurationWatchers watchers_;
  NewestListener listener_;
  std::list<Waiting> waiting_;
  std::optional<wire::ConfigurationRecord> wanted_;  // newest record whose snapshot is being fetched
  std::unique_ptr<Timer> fetch_timer_;
  bool fetching_ = false;
};

}  // namespace winchhall::cluster
