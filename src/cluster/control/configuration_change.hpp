// An operator's change of the configuration, and its application to the record in the register
// "configuration". All functions here are pure: the same change applied to the same record always has the
// same result, so that a change may be retried on a newer record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/config/configuration_document.hpp"
#include "cluster/config/former_routes.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Name of the HTTP header with the version that a change is based on.
inline constexpr const char* kBaseVersionHeader = "X-Winchhall-Base-Version";

// A complete configuration (Config.Put), or a change of named items (Config.Patch).
enum class ConfigurationChangeKind { put, patch };

// Kind of the outcome of a change.
enum class ConfigurationOutcomeKind {
  applied,      // in force and durable, through this attempt or an earlier one
  conflict,     // rejected and never in force: the current version is not the one that the change is based on
  invalid,      // rejected and never in force: the change itself is not valid
  unavailable,  // unknown: no majority answered in time, or the record no longer lists changes of this age
};

// Outcome of a change, as it is reported to the operator.
struct ConfigurationOutcome {
  ConfigurationOutcomeKind kind = ConfigurationOutcomeKind::unavailable;
  std::uint64_t version = 0;  // `applied`: the version that the change created; `conflict`: the current one
  InvalidInput error;         // only for `invalid`
};

// A change that was received from an operator. Everything that can be validated without the configuration
// that it is based on has been validated.
struct ConfigurationChange {
  ConfigurationChangeKind kind = ConfigurationChangeKind::put;
  std::uint64_t base = 0;     // version that the change is based on; 0 if there is none
  std::uint64_t version = 0;  // version that the change creates
  std::string digest;         // 16 bytes, computed from kind and body
  std::string body;           // exactly as received
  ConfigurationPatch patch;   // parsed body of a `patch`; empty for a `put`
  Configuration put;          // parsed body of a `put`; empty for a `patch`
  // When it was received, in milliseconds since 1970, by this node's clock.
  std::int64_t received_wall_ms = 0;
};

// The configuration that a change is based on.
struct ChangeBase {
  const ConfigurationDocument* document = nullptr;  // null: there is none
  const FormerRoutes& former_routes;
};

// Parses and validates a change. `base` is the text of the header X-Winchhall-Base-Version; a missing header
// counts as version 0. Fails with InvalidInput.
leaf::result<ConfigurationChange> parse_change(ConfigurationChangeKind kind,
                                               const std::optional<std::string>& base, std::string body,
                                               std::int64_t received_wall_ms);

// Result of the application of a change to a record.
struct ChangeResult {
  ConfigurationOutcome outcome;                     // `applied` is valid only once `record` is chosen
  std::optional<wire::ConfigurationRecord> record;  // next record; empty if the record must not change
  // Text of the snapshot that `record` names, which must be durable on a majority before `record` is
  // proposed. Empty if no snapshot has to be written first.
  std::optional<std::string> snapshot;
};

// Returns the outcome if `current` alone determines it, because the change was applied before or is based on
// another version. Returns nothing if the change is based on `current`; then the configuration of `current`
// is needed to apply it.
std::optional<ConfigurationOutcome> outcome_independent_of_base(const ConfigurationChange& change,
                                                                const wire::ConfigurationRecord& current);

// Applies a change that is based on `current`. `base` is the configuration of `current`. `snapshots_allowed`
// is true if every member can read records that name snapshots. A change that cannot be applied has the
// outcome `invalid`.
ChangeResult apply_change(const ConfigurationChange& change, const wire::ConfigurationRecord& current,
                          const ChangeBase& base, bool snapshots_allowed);

}  // namespace winchhall::cluster
