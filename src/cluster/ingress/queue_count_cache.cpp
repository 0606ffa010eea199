#include "cluster/ingress/queue_count_cache.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kCountLifetime{1500};

}  // namespace

void QueueCountCache::record(const std::string& queue, std::uint32_t pending, TimePoint now) {
  entries_[queue] = {pending, now};
}

std::optional<std::uint32_t> QueueCountCache::find(const std::string& queue, TimePoint now) const {
  const auto entry = entries_.find(queue);
  if (entry == entries_.end()) return std::nullopt;
  if (now - entry->second.recorded_at > kCountLifetime) return std::nullopt;
  return entry->second.pending;
}

}  // namespace winchhall::cluster
