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

// Lists the seeds, the members of the control group and the nodes known from peer sampling, with a backoff
// for nodes that fail. A node is removed once none of these sources lists it. Not thread-safe.
class ControlDirectory {
 public:
  // `runtime` must outlive the directory.
  ControlDirectory(Runtime& runtime, const NodeSettings& settings);

  // Replaces the seeds (their internal listeners).
  void set_seeds(const std::vector<Address>& seeds);
  // Replaces the members of the control group.
  void set_members(const std::vector<wire::Member>& members);
  // Replaces the nodes known from peer sampling. They are chosen only while every seed and member is excluded
  // or backing off.
  void set_sampled(const std::vector<Address>& nodes);

  // Chooses the best node that is not in `excluded`; none if all nodes are excluded. The criteria, most
  // important first: not backing off, a seed or member, a member, in this process's zone. Ties are broken at
  // random.
  std::optional<ControlChoice> choose(const std::set<Address>& excluded) const;
  // Chooses a random node other than `excluded`, by preference a seed or member that is not backing off.
  // Empty if no other node is known.
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
    unsigned failures = 0;  // consecutive
    TimePoint backoff_until;
  };

  Node* find(const Address& address);
  Node& find_or_add(const Address& address);
  void remove_unlisted();
  bool is_backing_off(const Node& node) const { return node.backoff_until > runtime_.now(); }
  // Sum of the penalties that apply to a node; lower is better.
  int rank(const Node& node) const;

  Runtime& runtime_;
  std::string own_zone_;
  std::vector<Node> nodes_;
};

}  // namespace winchhall::cluster
