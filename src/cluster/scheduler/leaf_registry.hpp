// The leaves of a service, and the nodes that they run on.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/leaf_state.hpp"
#include "cluster/scheduler/worker_session_tracker.hpp"

namespace winchhall::cluster::scheduling {

// A node whose worker-agent has sent a report. Nodes are never removed.
struct Node {
  WorkerSessionTracker sessions;
  std::string current_leaf_id;                 // ID of the present incarnation of its leaf; empty: none known
  std::deque<std::string> ended_incarnations;  // leaf IDs of the latest ended incarnations, newest last
};

// Owns the leaves and nodes. References to them stay valid until `erase`.
class LeafRegistry {
 public:
  using Leaves = std::vector<std::unique_ptr<Leaf>>;

  // Adds a leaf; `id` must not be registered.
  Leaf& add(const std::string& id, const std::string& node);
  // Null if there is no such leaf.
  Leaf* find(const std::string& id) const;
  // Destroys the leaf; its runs must have been removed.
  void erase(const std::string& id);
  // Notes that a leaf that isn't registered was reported and that the report should be answered at once.
  void announce(const std::string& id) { announced_.insert(id); }
  // True from `announce` until `on_answered`.
  bool is_announced(const std::string& id) const { return announced_.contains(id); }
  void on_answered(const std::string& id) { announced_.erase(id); }
  // Returns the node of this name; creates it if it isn't known.
  Node& node(const std::string& name) { return nodes_[name]; }
  // In the order of registration.
  const Leaves& all() const { return leaves_; }

 private:
  Leaves leaves_;
  std::unordered_map<std::string, Leaf*> by_id_;
  std::set<std::string> announced_;              // IDs
  std::unordered_map<std::string, Node> nodes_;  // by name
};

}  // namespace winchhall::cluster::scheduling
