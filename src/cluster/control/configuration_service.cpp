#include "cluster/control/configuration_service.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::cluster {
namespace {

constexpr Millis kQuorumTimeout{3500};
constexpr Millis kSnapshotRetry{100};

// A text that isn't a record counts as one that was never written.
wire::ConfigurationRecord read_record(const std::string& value) {
  wire::ConfigurationRecord record;
  if (!record.ParseFromString(value)) record.Clear();
  return record;
}

GroupStateSource watched(const ConfigurationDependencies& dependencies) {
  return {dependencies.leaders, dependencies.members, dependencies.has_quorum_contact};
}

}  // namespace

ConfigurationService::ConfigurationService(Runtime& runtime, RegisterClient& registers,
                                           const ConfigurationDependencies& dependencies)
    : runtime_(runtime),
      registers_(registers),
      members_read_snapshots_(dependencies.members_read_snapshots),
      snapshots_(registers, dependencies.local_registers),
      watchers_(runtime, state_, watched(dependencies)) {}

// ---------------------------------------------------------------- changes

void ConfigurationService::put(const std::optional<std::string>& base, std::string body,
                               ChangeCallback done) {
  change(ConfigurationChangeKind::put, base, std::move(body), std::move(done));
}

void ConfigurationService::patch(const std::optional<std::string>& base, std::string body,
                                 ChangeCallback done) {
  change(ConfigurationChangeKind::patch, base, std::move(body), std::move(done));
}

void ConfigurationService::change(ConfigurationChangeKind kind, const std::optional<std::string>& base,
                                  std::string body, ChangeCallback done) {
  const auto refuse = [&](const InvalidInput& error) {
    done(ConfigurationOutcome{ConfigurationOutcomeKind::invalid, 0, error});
  };
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(read, parse_change(kind, base, std::move(body)));
        const auto proposal = std::make_shared<ChangeAttempt>();
        proposal->change = std::move(read);
        proposal->done = std::move(done);
        proposal->end = runtime_.now() + kQuorumTimeout;
        propose(proposal);
        return {};
      },
      [&](const InvalidInput& error) { refuse(error); },
      [&] {
        refuse(InvalidInput{"Config", "body", "", "a readable change"});
      });
}

Millis ConfigurationService::left(const ChangeAttempt& proposal) const {
  const auto left = std::chrono::duration_cast<Millis>(proposal.end - runtime_.now());
  return std::max(left, Millis(0));
}

void ConfigurationService::propose(const ChangeAttemptPtr& proposal) {
  if (left(*proposal) == Millis(0)) return proposal->done(ConfigurationOutcome{});
  registers_.update(
      kConfigurationRegister,
      [this, proposal](const std::string& current) { return compute(*proposal, current); }, left(*proposal),
      [this, proposal](const std::optional<RegisterValue>& chosen) { proposed(proposal, chosen); });
}

// The next value of the register; none: the outcome is certain, or something is lacking.
std::optional<std::string> ConfigurationService::compute(ChangeAttempt& proposal,
                                                         const std::string& current) const {
  proposal.lack = MissingPrerequisite::nothing;
  proposal.found = read_record(current);
  const std::optional<ConfigurationOutcome> certain =
      outcome_independent_of_base(proposal.change, proposal.found);
  if (certain) {
    proposal.outcome = *certain;
    return std::nullopt;
  }
  const bool first = proposal.found.version() == 0;
  if (!first && !state_.is_at(proposal.found)) {
    proposal.lack = MissingPrerequisite::base;
    return std::nullopt;
  }
  ChangeResult result = apply_change(proposal.change, proposal.found, first ? nullptr : &state_.document(),
                                     members_read_snapshots_());
  proposal.outcome = result.outcome;
  if (!result.record) return std::nullopt;
  if (result.snapshot && !proposal.written.contains(result.record->snapshot().digest())) {
    proposal.lack = MissingPrerequisite::snapshot;
    proposal.snapshot = std::move(*result.snapshot);
    return std::nullopt;
  }
  return result.record->SerializeAsString();
}

void ConfigurationService::proposed(const ChangeAttemptPtr& proposal,
                                    const std::optional<RegisterValue>& chosen) {
  if (!chosen) return proposal->done(ConfigurationOutcome{});
  on_register_value(*chosen);
  switch (proposal->lack) {
    case MissingPrerequisite::nothing:
      return proposal->done(proposal->outcome);
    case MissingPrerequisite::base:
      return when_version_reached(proposal->found.version(), left(*proposal), [this, proposal](bool reached) {
        reached ? propose(proposal) : proposal->done(ConfigurationOutcome{});
      });
    case MissingPrerequisite::snapshot:
      return write_snapshot(proposal);
  }
}

void ConfigurationService::write_snapshot(const ChangeAttemptPtr& proposal) {
  const wire::ConfigurationSnapshotId id =
      ConfigurationSnapshots::id_of(proposal->change.version, proposal->snapshot);
  snapshots_.write(id, std::exchange(proposal->snapshot, {}), left(*proposal),
                   [this, proposal, id](bool written) {
                     if (!written) return proposal->done(ConfigurationOutcome{});
                     proposal->written.insert(id.digest());
                     propose(proposal);
                   });
}

// ---------------------------------------------------------------- reads

void ConfigurationService::get(ReadCallback done) {
  const RegisterChange keep = [](const std::string&) { return std::nullopt; };
  const TimePoint end = runtime_.now() + kQuorumTimeout;
  const auto finish = [this, end, done = std::move(done)](const std::optional<RegisterValue>& chosen) {
    if (!chosen) return done(ConfigurationRead{});
    on_register_value(*chosen);
    const std::uint64_t version = read_record(chosen->value).version();
    if (version == 0) return done(ConfigurationRead{ConfigurationReadKind::missing, 0, {}});
    when_version_reached(
        version, std::chrono::duration_cast<Millis>(end - runtime_.now()), [this, done](bool reached) {
          if (!reached) return done(ConfigurationRead{});
          done(ConfigurationRead{ConfigurationReadKind::found, state_.version(), state_.json()});
        });
  };
  registers_.update(kConfigurationRegister, keep, kQuorumTimeout, finish);
}

bool ConfigurationService::handle(const wire::Envelope& request, const ReplyCallback& reply) {
  if (request.has_configuration_watch()) {
    watchers_.watch(request.configuration_watch(), reply);
    return true;
  }
  if (request.has_configuration_fetch()) {
    differences_.handle(request.configuration_fetch(), reply);
    return true;
  }
  return false;
}

// ---------------------------------------------------------------- chosen records

void ConfigurationService::on_register_value(const RegisterValue& value) { take(read_record(value.value)); }

void ConfigurationService::take(const wire::ConfigurationRecord& record) {
  switch (state_.take(record)) {
    case RecordOutcome::taken:
      snapshots_.drop_unneeded(record);
      return on_newer();
    case RecordOutcome::snapshot_needed:
      if (!wanted_ || wanted_->version() < record.version()) wanted_ = record;
      if (!fetching_ && !fetch_timer_) fetch_snapshot(*wanted_);
      return;
    case RecordOutcome::not_newer:
    case RecordOutcome::unreadable:
      return;
  }
}

void ConfigurationService::fetch_snapshot(const wire::ConfigurationRecord& record) {
  fetch_timer_.reset();
  fetching_ = true;
  const auto take_copy = [this, digest = record.snapshot().digest()](const std::optional<std::string>& json) {
    const bool still_wanted = wanted_ && wanted_->snapshot().digest() == digest;
    fetched(still_wanted ? json : std::nullopt);
  };
  snapshots_.read(record.snapshot(), kQuorumTimeout, take_copy);
}

// A snapshot that was not found has been replaced, or no majority answered: the newest record known is tried
// again.
void ConfigurationService::fetched(const std::optional<std::string>& json) {
  fetching_ = false;
  if (!wanted_) return;
  const wire::ConfigurationRecord record = *std::exchange(wanted_, std::nullopt);
  if (json && state_.take(record, *json) == RecordOutcome::taken) {
    snapshots_.drop_unneeded(record);
    return on_newer();
  }
  if (record.version() <= state_.version()) return;
  wanted_ = record;
  fetch_timer_ = runtime_.after(kSnapshotRetry, [this] { fetch_snapshot(*wanted_); });
}

void ConfigurationService::on_newer() {
  if (listener_) listener_(*state_.configuration());
  watchers_.check();
  std::list<Waiting> reached;
  for (auto next = waiting_.begin(); next != waiting_.end();) {
    const auto waiting = next++;
    if (waiting->version <= state_.version()) reached.splice(reached.end(), waiting_, waiting);
  }
  for (const Waiting& waiting : reached) waiting.done(true);
}

void ConfigurationService::when_version_reached(std::uint64_t version, Millis limit,
                                                std::function<void(bool reached)> done) {
  if (state_.version() >= version) return done(true);
  waiting_.push_back({version, std::move(done), nullptr});
  const auto waiting = std::prev(waiting_.end());
  waiting->timer = runtime_.after(std::max(limit, Millis(1)), [this, waiting] {
    const auto given_up = std::move(waiting->done);
    waiting_.erase(waiting);
    given_up(false);
  });
}

}  // namespace winchhall::cluster
