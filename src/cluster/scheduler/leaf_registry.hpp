// All leaves of a service, and which life of a leaf each node has now.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/scheduler/leaf_state.hpp"

namespace winchhall::cluster::scheduling {

// Which of a node's reports are new. Reports may come late, twice and out of order, also those of an earlier
// process.
class ReportDeduplicator {
 public:
  // False: the report is older than one that was taken.
  bool accept(std::uint64_t session, std::uint64_t number);

 private:
  struct Session {
    std::uint64_t id = 0;
    std::uint64_t newest = 0;
  };
  static constexpr std::uint64_t kMostOut = 3;  // reports that one process may have under way
  static constexpr std::size_t kRetiredKept = 8;

  Session current_;
  std::deque<Session> retired_;
};

struct Node {
  ReportDeduplicator order;
  std::string leaf_id;           // of the life that is there now; empty: none known
  std::deque<std::string> over;  // ids of lives that are over, newest last
};

class LeafRegistry {
 public:
  using Leaves = std::vector<std::unique_ptr<Leaf>>;

  Leaf& add(const std::string& id, const std::string& node);
  Leaf* find(const std::string& id) const;
  void erase(const std::string& id);
  Node& node(const std::string& name) { return nodes_[name]; }
  const Leaves& all() const { return leaves_; }

 private:
  Leaves leaves_;
  std::unordered_map<std::string, Leaf*> by_id_;
  std::unordered_map<std::string, Node> nodes_;
};

}  // namespace winchhall::cluster::scheduling
