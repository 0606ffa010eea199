#include "cluster/control/configuration_proposer.hpp"

#include <algorithm>
#include <utility>

#include "cluster/control/configuration_register.hpp"

namespace winchhall::cluster {

void ConfigurationProposer::propose(ConfigurationChange change, ChangeCallback done) {
  const auto attempt = std::make_shared<ChangeAttempt>();
  attempt->change = std::move(change);
  attempt->done = std::move(done);
  attempt->deadline = runtime_.now() + kConfigurationQuorumTimeout;
  update_register(attempt);
}

Millis ConfigurationProposer::remaining_time(const ChangeAttempt& attempt) const {
  const auto remaining = std::chrono::duration_cast<Millis>(attempt.deadline - runtime_.now());
  return std::max(remaining, Millis(0));
}

void ConfigurationProposer::update_register(const ChangeAttemptPtr& attempt) {
  const Millis timeout = remaining_time(*attempt);
  if (timeout == Millis(0)) return attempt->done(ConfigurationOutcome{});
  registers_.update(
      kConfigurationRegister,
      [this, attempt](const std::string& current) { return compute_next(*attempt, current); }, timeout,
      [this, attempt](const std::optional<RegisterValue>& chosen) { on_register_updated(attempt, chosen); });
}

std::optional<std::string> ConfigurationProposer::compute_next(ChangeAttempt& attempt,
                                                               const std::string& current) const {
  attempt.missing = MissingPrerequisite::nothing;
  attempt.current = parse_configuration_record(current);
  const std::optional<ConfigurationOutcome> known_outcome =
      outcome_independent_of_base(attempt.change, attempt.current);
  if (known_outcome) {
    attempt.outcome = *known_outcome;
    return std::nullopt;
  }
  const ConfigurationState& state = follower_.state();
  const bool first = attempt.current.version() == 0;
  if (!first && !state.matches(attempt.current)) {
    attempt.missing = MissingPrerequisite::base;
    return std::nullopt;
  }
  const ChangeBase base{first ? nullptr : &state.document(), state.former_routes()};
  ChangeResult result = apply_change(attempt.change, attempt.current, base, all_members_read_snapshots_());
  attempt.outcome = result.outcome;
  if (!result.record) return std::nullopt;
  if (result.snapshot && !attempt.durable_snapshots.contains(result.record->snapshot().digest())) {
    attempt.missing = MissingPrerequisite::snapshot;
    attempt.snapshot = std::move(*result.snapshot);
    return std::nullopt;
  }
  return result.record->SerializeAsString();
}

void ConfigurationProposer::on_register_updated(const ChangeAttemptPtr& attempt,
                                                const std::optional<RegisterValue>& chosen) {
  if (!chosen) return attempt->done(ConfigurationOutcome{});
  follower_.on_chosen(*chosen);
  switch (attempt->missing) {
    case MissingPrerequisite::nothing:
      return attempt->done(attempt->outcome);
    case MissingPrerequisite::base:
      return retry_with_base(attempt);
    case MissingPrerequisite::snapshot:
      return retry_with_snapshot(attempt);
  }
}

void ConfigurationProposer::retry_with_base(const ChangeAttemptPtr& attempt) {
  follower_.when_version_reached(attempt->current.version(), remaining_time(*attempt),
                                 [this, attempt](bool reached) {
                                   reached ? update_register(attempt) : attempt->done(ConfigurationOutcome{});
                                 });
}

void ConfigurationProposer::retry_with_snapshot(const ChangeAttemptPtr& attempt) {
  const wire::ConfigurationSnapshotId id =
      ConfigurationSnapshots::id_of(attempt->change.version, attempt->snapshot);
  snapshots_.write(id, std::exchange(attempt->snapshot, {}), remaining_time(*attempt),
                   [this, attempt, id](bool durable) {
                     if (!durable) return attempt->done(ConfigurationOutcome{});
                     attempt->durable_snapshots.insert(id.digest());
                     update_register(attempt);
                   });
}

}  // namespace winchhall::cluster
