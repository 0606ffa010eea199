// What runs of each priority hold, on one leaf or on all leaves of a service.
#pragma once

#include <cstdint>
#include <map>

#include "cluster/scheduler/resources.hpp"

namespace winchhall::cluster::scheduling {

class PriorityUsage {
 public:
  void add(std::uint32_t priority, const Resources& amount) {
    Use& use = uses_[priority];
    use.amount += amount;
    ++use.runs;
  }
  void remove(std::uint32_t priority, const Resources& amount) {
    const auto found = uses_.find(priority);
    if (found == uses_.end()) return;
    found->second.amount = found->second.amount.without(amount);
    if (--found->second.runs == 0) uses_.erase(found);
  }
  // Held by runs that are more urgent than `priority`.
  Resources above(std::uint32_t priority) const {
    Resources sum;
    for (auto entry = uses_.begin(); entry != uses_.lower_bound(priority); ++entry)
      sum += entry->second.amount;
    return sum;
  }
  // Held by runs that are as urgent as `priority` or less.
  Resources from(std::uint32_t priority) const {
    Resources sum;
    for (auto entry = uses_.lower_bound(priority); entry != uses_.end(); ++entry) sum += entry->second.amount;
    return sum;
  }
  // True if something less urgent than `priority` runs.
  bool has_below(std::uint32_t priority) const { return uses_.upper_bound(priority) != uses_.end(); }

 private:
  struct Use {
    Resources amount;
    std::uint64_t runs = 0;
  };
  std::map<std::uint32_t, Use> uses_;  // by priority
};

}  // namespace winchhall::cluster::scheduling
