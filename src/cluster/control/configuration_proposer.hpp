// Applies operators' changes of the configuration by compare-and-swap on the register "configuration".
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

// Proposes each change until it is chosen, rejected or timed out. There is no leader: any control node
// proposes, and the register decides which of two changes with the same base is applied.
//
// An attempt reads the current record through the register, computes the next one and writes it. If a
// prerequisite is missing (the configuration that the change is based on is not on this node, or the new
// snapshot is not yet durable on a majority), the attempt leaves the register unchanged, establishes the
// prerequisite and tries again.
//
// Invariants:
// - `applied` is reported only once the record with the change is durable on a majority of the members, even
//   if an earlier attempt wrote it.
// - A snapshot is durable on a majority before a record that names it is proposed.
//
// An attempt is owned by the pending callback of its register operation or timer. No such callback may run
// after the proposer is destroyed. All calls and callbacks happen on the event loop.
class ConfigurationProposer {
 public:
  using ChangeCallback = std::function<void(ConfigurationOutcome)>;

  // `all_members_read_snapshots` returns true if records may name snapshots. The references must outlive the
  // proposer.
  ConfigurationProposer(Runtime& runtime, RegisterClient& registers, ConfigurationSnapshots& snapshots,
                        ConfigurationFollower& follower, std::function<bool()> all_members_read_snapshots)
      : runtime_(runtime),
        registers_(registers),
        snapshots_(snapshots),
        follower_(follower),
        all_members_read_snapshots_(std::move(all_members_read_snapshots)) {}

  // Proposes a change. `done` is called exactly once, possibly before this call returns, and at the latest
  // after kConfigurationQuorumTimeout, then with `unavailable`: the change may or may not take effect, and
  // the same change may be sent again.
  void propose(ConfigurationChange change, ChangeCallback done);

 private:
  // The prerequisite that the latest try lacked.
  enum class MissingPrerequisite { nothing, base, snapshot };

  // A change in progress. `durable_snapshots` covers all tries; the other members after `deadline` describe
  // the latest one.
  struct ChangeAttempt {
    ConfigurationChange change;
    ChangeCallback done;
    TimePoint deadline;
    ConfigurationOutcome outcome;
    MissingPrerequisite missing = MissingPrerequisite::nothing;
    wire::ConfigurationRecord current;
    std::string snapshot;
    // Digests of the snapshots that are durable on a majority.
    std::set<std::string> durable_snapshots;
  };
  using ChangeAttemptPtr = std::shared_ptr<ChangeAttempt>;

  void update_register(const ChangeAttemptPtr& attempt);
  // Returns the next value of the register, or nothing if the outcome is already determined or a prerequisite
  // is missing. One register update may call it several times.
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
