// Carries out operators' changes of the configuration by compare-and-swap on the register "configuration".
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cluster/common/runtime.hpp"
#include "cluster/consensus/register_client.hpp"
#include "cluster/control/configuration_change.hpp"
#include "cluster/control/configuration_follower.hpp"
#include "cluster/control/configuration_snapshots.hpp"

namespace winchhall::cluster {

// Proposes changes until each is chosen, refused or out of time. There is no leader: any control node
// proposes, and the register decides which of two changes on one base is applied.
//
// An attempt reads the current record through the register, computes the next one and writes it. Where that
// needs something that is missing on this node (the configuration that the change builds on, or a snapshot on
// a majority), the attempt leaves the register as it is, gets what is missing and starts again.
//
// Invariants:
// - `applied` is reported only once the record with the change is durable on a majority of the members, also
//   where an earlier attempt wrote it.
// - A snapshot is durable on a majority before a record that names it is proposed.
//
// An attempt is owned by the callback that waits for its register or timer; none of these may be called after
// the proposer is gone. All calls and callbacks happen on the event loop.
class ConfigurationProposer {
 public:
  using ChangeCallback = std::function<void(ConfigurationOutcome)>;

  // `all_members_read_snapshots`: records may name snapshots. The references outlive the proposer.
  ConfigurationProposer(Runtime& runtime, RegisterClient& registers, ConfigurationSnapshots& snapshots,
                        ConfigurationFollower& follower, std::function<bool()> all_members_read_snapshots)
      : runtime_(runtime),
        registers_(registers),
        snapshots_(snapshots),
        follower_(follower),
        all_members_read_snapshots_(std::move(all_members_read_snapshots)) {}

  // Proposes a change. `done` is called once, perhaps from within this call, with `unavailable` after at most
  // kConfigurationQuorumTimeout: then the change may or may not take effect, and may be sent again as it is.
  void propose(ConfigurationChange change, ChangeCallback done);

 private:
  // What the newest try lacked of what it needs.
  enum class MissingPrerequisite { nothing, base, snapshot };

  // A change on its way. All but the first three members are of the newest try.
  struct ChangeAttempt {
    ConfigurationChange change;
    ChangeCallback done;
    TimePoint deadline;
    ConfigurationOutcome outcome;
    MissingPrerequisite missing = MissingPrerequisite::nothing;
    wire::ConfigurationRecord current;
    std::string snapshot;
    // Digests of snapshots that are durable on a majority, of all tries.
    std::set<std::string> durable_snapshots;
  };
  using ChangeAttemptPtr = std::shared_ptr<ChangeAttempt>;

  void update_register(const ChangeAttemptPtr& attempt);
  // The next value of the register; none: the outcome is certain, or a prerequisite is missing. May be called
  // several times by one update.
  std::optional<std::string> compute_next(ChangeAttempt& attempt, const std::string& current) const;
  void on_register_updated(const ChangeAttemptPtr& attempt, const std::optional<RegisterValue>& chosen);
  void retry_with_base(const ChangeAttemptPtr& attempt);
  void retry_with_snapshot(const ChangeAttemptPtr& attempt);
  Millis remaining_time(const ChangeAttempt& attempt) const;

  Runtime& runtime_;
  RegisterClient& registers_;
  ConfigurationSnapshots& snapshots_;
  ConfigurationFollower& follower_;
  const std::function<bool()> all_members_read_snapshots_;
};

}  // namespace winchhall::cluster
