// An operator's change of the configuration, and what it makes of the record in the register "configuration".
// Everything here is pure: the same change applied to the same record always ends the same way, so that a
// change may be retried on a newer record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/config/configuration_document.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// HTTP header with the version that a change builds on.
inline constexpr const char* kBaseVersionHeader = "X-Winchhall-Base-Version";

// A complete configuration (Config.Put), or a change of named items (Config.Patch).
enum class ConfigurationChangeKind { put, patch };

// How a change ended.
enum class ConfigurationOutcomeKind {
  applied,      // in force and durable, by this attempt or by an earlier one
  conflict,     // another version is current; the change was never in force
  invalid,      // the change was never in force
  unavailable,  // not known: no majority answered in time, or the change is too old to be remembered
};

struct ConfigurationOutcome {
  ConfigurationOutcomeKind kind = ConfigurationOutcomeKind::unavailable;
  std::uint64_t version = 0;  // applied: that the change made; conflict: the current one
  InvalidInput error;         // of an invalid change
};

// A change as it came from the operator. Everything that doesn't depend on the version it builds on was
// checked.
struct ConfigurationChange {
  ConfigurationChangeKind kind = ConfigurationChangeKind::put;
  std::uint64_t base = 0;     // version that it builds on
  std::uint64_t version = 0;  // version that it makes
  std::string digest;         // of kind and body
  std::string body;           // exactly as sent
  ConfigurationPatch patch;   // of a patch
};

// Parses a change. `base`: text of the header with the base version; none: 0. Errors: InvalidInput.
leaf::result<ConfigurationChange> parse_change(ConfigurationChangeKind kind,
                                               const std::optional<std::string>& base, std::string body);

// What a change makes of a record.
struct ChangeResult {
  ConfigurationOutcome outcome;                     // `applied` holds only once `record` is chosen
  std::optional<wire::ConfigurationRecord> record;  // none: the record stays as it is
  // Text of the snapshot that `record` names, to be durable on a majority before `record` is proposed; none:
  // it is.
  std::optional<std::string> snapshot;
};

// The outcome as far as `current` alone decides it: the change was applied before, or builds on another
// version. None: the change builds on `current`, whose configuration is needed to go on.
std::optional<ConfigurationOutcome> outcome_independent_of_base(const ConfigurationChange& change,
                                                                const wire::ConfigurationRecord& current);

// Applies a change that builds on `current`. `base`: the configuration of `current`; null where there was
// never one. `snapshots_allowed`: every member reads records that name snapshots. A change that can't be
// applied ends as `invalid`.
ChangeResult apply_change(const ConfigurationChange& change, const wire::ConfigurationRecord& current,
                          const ConfigurationDocument* base, bool snapshots_allowed);

}  // namespace winchhall::cluster
