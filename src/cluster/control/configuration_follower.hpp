// Follows the register "configuration" and keeps the newest chosen configuration on a control node.
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

// Keeps the configuration of the newest chosen record that this node knows. Reads the snapshot that a record
// names if the present state and the patches in the record are not sufficient.
//
// Owns the configuration state, which other classes only read. Several sources report chosen records (the
// register watch, and the node's own changes and reads), in any order and repeatedly. All calls and callbacks
// happen on the event loop.
//
// Invariant: the version of the state never decreases. Every version that the state reaches was chosen by a
// majority, since only values that are known to be chosen may be passed in.
class ConfigurationFollower {
 public:
  // `on_advanced` is called each time that the state has reached a newer version. The references must outlive
  // the follower.
  ConfigurationFollower(Runtime& runtime, ConfigurationSnapshots& snapshots,
                        std::function<void()> on_advanced)
      : runtime_(runtime), snapshots_(snapshots), on_advanced_(std::move(on_advanced)) {}

  // Applies a chosen value of the register "configuration". A version that isn't newer is ignored.
  void on_chosen(const RegisterValue& value);

  const ConfigurationState& state() const { return state_; }

  // Calls `done` exactly once: with true as soon as the state has reached `version` or a newer one, possibly
  // before this call returns; with false after `timeout`.
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
  // Newest chosen record whose snapshot this node lacks; empty if the state is at the newest known record.
  std::optional<wire::ConfigurationRecord> pending_record_;
  std::unique_ptr<Timer> retry_timer_;
  bool fetching_ = false;
};

}  // namespace winchhall::cluster
