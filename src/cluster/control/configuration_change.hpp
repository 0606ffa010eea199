// What a change of the configuration makes of the register "configuration". Pure: the same change applied to
// the same value always ends the same way, so that it may be tried again on a newer value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/common/errors.hpp"
#include "cluster/config/configuration_document.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// A whole configuration, or a change of named items.
enum class ConfigurationChangeKind { put, patch };

// How a change ended.
enum class ConfigurationOutcomeKind {
  applied,      // in force, now or by an earlier try
  conflict,     // another version is current
  invalid,      // never in force
  unavailable,  // no majority answered: it may or may not take effect
};

struct ConfigurationOutcome {
  ConfigurationOutcomeKind kind = ConfigurationOutcomeKind::unavailable;
  std::uint64_t version = 0;  // applied: that the change made; conflict: the current one
  InvalidInput error;         // of an invalid change
};

// A change as it came from the operator, with everything checked that doesn't depend on what it builds on.
struct ConfigurationChange {
  ConfigurationChangeKind kind = ConfigurationChangeKind::put;
  std::uint64_t base = 0;     // version that it builds on
  std::uint64_t version = 0;  // version that it makes
  std::string digest;         // of kind and body
  std::string body;           // exactly as sent
  ConfigurationPatch patch;   // of a patch
};

// Reads a change. `base`: text of the base version's header; none: 0. Errors: InvalidInput.
leaf::result<ConfigurationChange> parse_change(ConfigurationChangeKind kind,
                                               const std::optional<std::string>& base, std::string body);

// What a change makes of a record.
struct ChangeResult {
  ConfigurationOutcome outcome;
  std::optional<wire::ConfigurationRecord> record;  // none: the record stays as it is
  std::optional<std::string>
      snapshot;  // text of the record's snapshot, to be chosen before the record; none: it is
};

// What is certain of a change without the configuration that it builds on; none: it builds on `current`.
std::optional<ConfigurationOutcome> outcome_independent_of_base(const ConfigurationChange& change,
                                                                const wire::ConfigurationRecord& current);
// `base`: the configuration of `current`, on which the change builds; null where there was never one.
// `snapshots`: all members read records with snapshots.
ChangeResult apply_change(const ConfigurationChange& change, const wire::ConfigurationRecord& current,
                          const ConfigurationDocument* base, bool snapshots);

}  // namespace winchhall::cluster
