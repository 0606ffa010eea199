#include "cluster/scheduler/submission_fences.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {
namespace {

std::string encode_fence(const std::string& job, std::uint64_t version) {
  wire::SubmissionFenceRecord record;
  record.set_id(job);
  record.set_configuration_version(version);
  return record.SerializeAsString();
}

}  // namespace

void SubmissionFences::keep(const std::string& job, Fence& fence) {
  const bool is_scheduled = fence.expires_at != TimePoint{};
  fence.expires_at = state_.now + kRetention;
  if (!is_scheduled) expiries_.emplace_back(fence.expires_at, job);
}

void SubmissionFences::restore(const wire::SubmissionFenceRecord& record) {
  Fence& fence = fences_[record.id()];
  fence.version = std::max(fence.version, record.configuration_version());
  keep(record.id(), fence);
}

std::optional<ChangeBatchNumber> SubmissionFences::raise(const std::string& job, std::uint64_t version) {
  const auto found = fences_.find(job);
  if (found == fences_.end() && fences_.size() >= kMaxFences) return std::nullopt;
  Fence& fence = found == fences_.end() ? fences_[job] : found->second;
  keep(job, fence);
  if (fence.version < version) {
    fence.version = version;
    fence.batch = state_.records.put(fence_key(job), encode_fence(job, version));
  }
  return state_.records.is_durable(fence.batch) ? 0 : fence.batch;
}

bool SubmissionFences::rejects(const std::string& job, std::uint64_t version) const {
  const auto found = fences_.find(job);
  return found != fences_.end() && version < found->second.version;
}

void SubmissionFences::remove_expired() {
  while (!expiries_.empty() && expiries_.front().first <= state_.now) {
    const std::string job = std::move(expiries_.front().second);
    expiries_.pop_front();
    const auto found = fences_.find(job);
    if (found->second.expires_at > state_.now) {
      expiries_.emplace_back(found->second.expires_at, job);
      continue;
    }
    fences_.erase(found);
    state_.records.remove(fence_key(job));
  }
}

}  // namespace winchhall::cluster::scheduling
