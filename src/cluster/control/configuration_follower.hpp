// The newest chosen configuration on a control node, followed from record to record.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/consensus/register_client.hpp"
#include "cluster/control/configuration_snapshots.hpp"
#include "cluster/control/configuration_state.hpp"

namespace winchhall::cluster {

// Keeps the configuration of the newest chosen record that became known on this node, and reads the snapshots
// that records name where the state at hand isn't enough.
//
// Owns the configuration state; everyone else only reads it. Is told of chosen records from several sides
// (the register watch, the node's own changes and reads), in any order and repeatedly. All calls and
// callbacks happen on the event loop.
//
// Invariant: the state's version never goes back. A version that is held was chosen by a majority, since only
// values that are known to be chosen come in here.
class ConfigurationFollower {
 public:
  // `on_advanced` is called after each newer version that is held. The references outlive the follower.
  ConfigurationFollower(Runtime& runtime, ConfigurationSnapshots& snapshots,
                        std::function<void()> on_advanced)
      : runtime_(runtime), snapshots_(snapshots), on_advanced_(std::move(on_advanced)) {}

  // The value of the register "configuration" was chosen. A version that isn't newer is ignored.
  void on_chosen(const RegisterValue& value);

  const ConfigurationState& state() const { return state_; }

  // Calls `done` once: with true as soon as `version` or a newer one is held, perhaps from within this call;
  // with false after `timeout`.
  void when_version_reached(std::uint64_t version, Millis timeout, std::function<void(bool reached)> done);

 private:
  struct VersionWaiter {
    std::uint64_t version = 0;
    std::function<void(bool reached)> done;
    std::unique_ptr<Timer> timer;
  };

  void apply(const wire::ConfigurationRecord& record);
  void fetch_snapshot(const wire::ConfigurationRecord& record);
  void on_snapshot_read(const std::optional<std::string>& json);
  void on_version_advanced();

  Runtime& runtime_;
  ConfigurationSnapshots& snapshots_;
  const std::function<void()> on_advanced_;
  ConfigurationState state_;
  std::list<VersionWaiter> waiters_;
  // Newest chosen record whose snapshot is missing here; none: the state is up to date as far as is known.
  std::optional<wire::ConfigurationRecord> pending_record_;
  std::unique_ptr<Timer> retry_timer_;
  bool fetching_ = false;
};

}  // namespace winchhall::cluster
