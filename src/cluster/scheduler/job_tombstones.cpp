#include "cluster/scheduler/job_tombstones.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

std::string encode_tombstone(const std::string& job, std::uint64_t version) {
  wire::JobTombstoneRecord record;
  record.set_id(job);
  record.set_configuration_version(version);
  return record.SerializeAsString();
}

}  // namespace

void JobTombstones::extend(const std::string& job, Tombstone& tombstone) {
  const bool is_new = tombstone.expires_at == TimePoint{};
  tombstone.expires_at = state_.now + kRetention;
  if (is_new) expiries_.emplace(tombstone.expires_at, job);
}

void JobTombstones::restore(const wire::JobTombstoneRecord& record) {
  Tombstone& tombstone = tombstones_[record.id()];
  tombstone.version = std::max(tombstone.version, record.configuration_version());
  extend(record.id(), tombstone);
}

std::optional<ChangeBatchNumber> JobTombstones::add(const std::string& job, std::uint64_t version) {
  const bool is_full = tombstones_.size() >= kMaxTombstones;
  if (is_full && !tombstones_.contains(job)) return std::nullopt;
  Tombstone& tombstone = tombstones_[job];
  extend(job, tombstone);
  if (tombstone.version < version) {
    tombstone.version = version;
    tombstone.batch = state_.records.put(tombstone_key(job), encode_tombstone(job, version));
  }
  return state_.records.is_durable(tombstone.batch) ? 0 : tombstone.batch;
}

bool JobTombstones::rejects(const std::string& job, std::uint64_t version) const {
  const auto found = tombstones_.find(job);
  return found != tombstones_.end() && version < found->second.version;
}

void JobTombstones::remove_expired() {
  while (!expiries_.empty() && expiries_.begin()->first <= state_.now) {
    const std::string job = expiries_.extract(expiries_.begin()).mapped();
    const auto found = tombstones_.find(job);
    if (found->second.expires_at > state_.now) {
      expiries_.emplace(found->second.expires_at, job);
      continue;
    }
    tombstones_.erase(found);
    state_.records.remove(tombstone_key(job));
  }
}

}  // namespace winchhall::cluster::scheduling
