// The last known number of pending jobs of each queue.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cluster/common/runtime.hpp"

namespace winchhall::cluster {

// Lets a count be answered while the service's leader is unreachable. A client may be given a count that is
// at most two seconds old; entries are valid for less, to leave time for the way to the client.
class QueueCountCache {
 public:
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
