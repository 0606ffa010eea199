// All leaves of a service, and which life of a leaf each node has now.
#include "cluster/scheduler/leaf_registry.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {

bool ReportDeduplicator::accept(std::uint64_t session, std::uint64_t number) {
  if (session == current_.id) {
    if (number <= current_.newest) return false;
    current_.newest = number;
    return true;
  }
  auto earlier =
      std::find_if(retired_.begin(), retired_.end(), [&](const Session& s) { return s.id == session; });
  if (earlier != retired_.end()) {
    // More than its last reports coming late: it lives.
    if (number <= earlier->newest + kMostOut) return false;
    retired_.erase(earlier);
  }
  retired_.push_back(current_);
  if (retired_.size() > kRetiredKept) retired_.pop_front();
  current_ = {session, number};
  return true;
}

Leaf& LeafRegistry::add(const std::string& id, const std::string& node) {
  leaves_.push_back(std::make_unique<Leaf>());
  Leaf& added = *leaves_.back();
  added.id = id;
  added.node = node;
  by_id_[id] = &added;
  return added;
}

Leaf* LeafRegistry::find(const std::string& id) const {
  auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

void LeafRegistry::erase(const std::string& id) {
  by_id_.erase(id);
  auto found =
      std::find_if(leaves_.begin(), leaves_.end(), [&](const auto& entry) { return entry->id == id; });
  if (found != leaves_.end()) leaves_.erase(found);
}

}  // namespace winchhall::cluster::scheduling
