// The operator's configuration on a control node: changes by compare-and-swap on the register
// "configuration", reads through a majority, and the newest chosen version for everyone who watches.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/config/configuration.hpp"
#include "cluster/consensus/register_client.hpp"
#include "cluster/control/configuration_change.hpp"
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

// What a watcher is told besides the configuration. All must be set.
struct ConfigurationSurroundings {
  std::function<std::vector<wire::ShardLeader>()> leaders;
  std::function<std::vector<wire::Member>()> members;
  std::function<bool()> in_touch;
};

class ConfigurationService {
 public:
  using ChangeDone = std::function<void(ConfigurationOutcome)>;
  using ReadDone = std::function<void(ConfigurationRead)>;
  using NewestListener = std::function<void(const Configuration&)>;

  // All references outlive the service.
  ConfigurationService(Runtime& runtime, RegisterClient& registers, ConfigurationSurroundings surroundings);

  // Changes the configuration. `base`: text of the header X-Winchhall-Base-Version; none: not sent. `done` is
  // called once, perhaps from within this call; `unavailable` after at most 3.5 s.
  void put(const std::optional<std::string>& base, std::string body, ChangeDone done);
  void patch(const std::optional<std::string>& base, std::string body, ChangeDone done);
  // The newest configuration, as a majority knows it.
  void get(ReadDone done);

  // A chosen value of the register became known here. Older values than the newest known are ignored.
  void on_register_value(const RegisterValue& value);
  // Leaders or members may have changed: watchers are told. Also noticed by itself within 50 ms.
  void on_leaders_changed() { answer_watchers(); }
  // Answers a long poll, by way of `reply`.
  void watch(const wire::ConfigurationWatch& request, Replier reply);
  // Handles ConfigurationWatch and ConfigurationFetch requests.
  bool handle(const wire::Envelope& request, const Replier& reply);
  // Answers all watchers, for a planned end of the process.
  void stop();

  // Newest configuration known here; null: none yet.
  const Configuration* newest() const { return newest_ ? &*newest_ : nullptr; }
  // Called with each newer configuration that becomes known here.
  void set_listener(NewestListener listener) { listener_ = std::move(listener); }

 private:
  struct Watcher {
    wire::ConfigurationWatch request;
    Replier reply;
    TimePoint end;
  };

  void change(ConfigurationChangeKind kind, const std::optional<std::string>& base, std::string body,
              ChangeDone done);
  void propose(ConfigurationChange change, ChangeDone done);
  void take_newest(const wire::ConfigurationRecord& record);
  std::uint64_t newest_version() const { return newest_ ? newest_->version : 0; }
  std::uint64_t leaders_digest() const;
  bool due(const Watcher& watcher, std::uint64_t digest) const;
  void answer(const Watcher& watcher, std::uint64_t digest) const;
  void answer_watchers();
  void schedule_check();

  Runtime& runtime_;
  RegisterClient& registers_;
  ConfigurationSurroundings surroundings_;
  std::optional<Configuration> newest_;
  ItemTable items_;  // of `newest_`
  DifferenceServer differences_{items_};
  NewestListener listener_;
  std::list<Watcher> watchers_;
  std::unique_ptr<Timer> check_timer_;
};

}  // namespace winchhall::cluster
