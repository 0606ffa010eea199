#include "cluster/scheduler/leaf_registry.hpp"

#include <algorithm>

namespace winchhall::cluster::scheduling {

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
