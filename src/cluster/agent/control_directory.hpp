// The control nodes that this process may call.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// A control node chosen to be called.
struct ControlChoice {
  Address address;
  bool ready = true;  // false: it has failed, and its backoff has not elapsed
};

// Lists the seeds, the members and the nodes known from peer sampling, and keeps a backoff for those that
// fail. A node is removed once no source lists it any more. Not thread-safe.
class ControlDirectory {
 public:
  // `runtime` outlives the directory.
  ControlDirectory(Runtime& runtime, const NodeSettings& settings);

  // Replaces the seeds (their internal listeners).
  void set_seeds(const std::vector<Address>& seeds);
  void set_members(const std::vector<wire::Member>& members);
  // Replaces the nodes from peer sampling: these are chosen only while every seed and member is excluded or
  // backing off.
  void set_sampled(const std::vector<Address>& nodes);

  // The best node that is not in `excluded`: by preference one that is not backing off, then a seed or member
  // rather than a sampled node, a member, one of the own zone; at random among equals. None: all are
  // excluded.
  std::optional<ControlChoice> choose(const std::set<Address>& excluded) const;
  // A random node other than `excluded`: a seed or member that is not backing off, if there is one. Empty: no
  // other node is known.
  Address choose_any(const Address& excluded) const;

  // Ends the backoff of a node.
  void record_success(const Address& address);
  // Starts the backoff of a node, or doubles it up to a limit.
  void record_failure(const Address& address);

 private:
  struct Node {
    Address address;
    std::string zone;
    bool seed = false;
    bool member = false;
    bool sampled = false;
    unsigned failures = 0;  // in a row
    TimePoint backoff_until;
  };

  Node* find(const Address& address);
  Node& find_or_add(const Address& address);
  void remove_unlisted();
  bool is_backing_off(const Node& node) const { return node.backoff_until > runtime_.now(); }
  // Lower is better.
  int rank(const Node& node) const;

  Runtime& runtime_;
  std::string own_zone_;
  std::vector<Node> nodes_;
};

}  // namespace winchhall::cluster
