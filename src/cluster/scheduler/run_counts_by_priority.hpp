// Counts runs by the priority of their queue.
#pragma once

#include <cstdint>
#include <map>

namespace winchhall::cluster::scheduling {

// Number of runs of each priority; 0 is the most urgent.
class RunCountsByPriority {
 public:
  void add(std::uint32_t priority) { ++counts_[priority]; }
  // Removes one run that was added with this priority; no effect if there is none.
  void remove(std::uint32_t priority) {
    const auto found = counts_.find(priority);
    if (found != counts_.end() && --found->second == 0) counts_.erase(found);
  }
  // True if there is a run that is less urgent than `priority`.
  bool has_lower_priority_than(std::uint32_t priority) const {
    return counts_.upper_bound(priority) != counts_.end();
  }

 private:
  std::map<std::uint32_t, std::uint64_t> counts_;  // by priority; no count is 0
};

}  // namespace winchhall::cluster::scheduling
