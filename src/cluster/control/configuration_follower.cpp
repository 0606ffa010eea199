#include "cluster/control/configuration_follower.hpp"

#include <algorithm>
#include <utility>

#include "cluster/control/configuration_register.hpp"

namespace winchhall::cluster {
namespace {

constexpr Millis kSnapshotRetryDelay{100};

}  // namespace

void ConfigurationFollower::on_chosen(const RegisterValue& value) {
  apply(parse_configuration_record(value.value));
}

void ConfigurationFollower::apply(const wire::ConfigurationRecord& record) {
  switch (state_.apply(record)) {
    case RecordOutcome::applied:
      snapshots_.drop_unneeded(record);
      return on_version_advanced();
    case RecordOutcome::snapshot_needed:
      if (!pending_record_ || pending_record_->version() < record.version()) pending_record_ = record;
      if (!fetching_ && !retry_timer_) fetch_snapshot(*pending_record_);
      return;
    case RecordOutcome::not_newer:
    case RecordOutcome::unreadable:
      return;
  }
}

void ConfigurationFollower::fetch_snapshot(const wire::ConfigurationRecord& record) {
  retry_timer_.reset();
  fetching_ = true;
  const auto on_read = [this, digest = record.snapshot().digest()](const std::optional<std::string>& json) {
    const bool still_wanted = pending_record_ && pending_record_->snapshot().digest() == digest;
    on_snapshot_read(still_wanted ? json : std::nullopt);
  };
  snapshots_.read(record.snapshot(), kConfigurationQuorumTimeout, on_read);
}

// A missing snapshot means that a newer one has replaced it or that no majority answered. In both cases the
// newest known record is retried.
void ConfigurationFollower::on_snapshot_read(const std::optional<std::string>& json) {
  fetching_ = false;
  if (!pending_record_) return;
  const wire::ConfigurationRecord record = *std::exchange(pending_record_, std::nullopt);
  if (json && state_.apply(record, *json) == RecordOutcome::applied) {
    snapshots_.drop_unneeded(record);
    return on_version_advanced();
  }
  if (record.version() <= state_.version()) return;
  pending_record_ = record;
  retry_timer_ = runtime_.after(kSnapshotRetryDelay, [this] { fetch_snapshot(*pending_record_); });
}

void ConfigurationFollower::on_version_advanced() {
  on_advanced_();
  // A callback may add another waiter, so the waiters to be called are removed from the list first.
  std::list<VersionWaiter> reached;
  for (auto next = waiters_.begin(); next != waiters_.end();) {
    const auto waiter = next++;
    if (waiter->version <= state_.version()) reached.splice(reached.end(), waiters_, waiter);
  }
  for (const VersionWaiter& waiter : reached) waiter.done(true);
}

void ConfigurationFollower::when_version_reached(std::uint64_t version, Millis timeout,
                                                 std::function<void(bool reached)> done) {
  if (state_.version() >= version) return done(true);
  waiters_.push_back({version, std::move(done), nullptr});
  const auto waiter = std::prev(waiters_.end());
  waiter->timer = runtime_.after(std::max(timeout, Millis(1)), [this, waiter] {
    const auto expired = std::move(waiter->done);
    waiters_.erase(waiter);
    expired(false);
  });
}

}  // namespace winchhall::cluster
