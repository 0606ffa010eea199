// The last known number of pending jobs of each queue.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Answers counts while the service's leader is unreachable. A count may be at most two seconds old when it
// reaches the client, so entries are valid for a shorter time, which leaves time for the transmission. Not
// thread-safe.
class QueueCountCache {
 public:
  // Stores the number of pending jobs that a leader has reported for a queue.
  void record(const std::string& queue, std::uint32_t pending, TimePoint now);
  // Empty if no count is known or the last one is too old.
  std::optional<std::uint32_t> find(const std::string& queue, TimePoint now) const;

 private:
  struct Entry {
    std::uint32_t pending = 0;
    TimePoint recorded_at;
  };
  std::map<std::string, Entry> entries_;  // by queue
};

}  // namespace winchhall::cluster
