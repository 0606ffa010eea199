// Control nodes that may be asked: the seeds, the members and, where these fail, the nodes that peer sampling
// brought up; with what is known of how they answer.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/common/settings.hpp"

namespace winchhall::cluster {

// A control node chosen to be asked. `rested`: it has not failed lately.
struct ControlChoice {
  Address address;
  bool rested = true;
};

class ControlDirectory {
 public:
  ControlDirectory(Runtime& runtime, const NodeSettings& settings);

  // Internal listeners of the seeds.
  void set_seeds(const std::vector<Address>& seeds);
  // Nodes that are not listed any more are dropped unless they are known from elsewhere.
  void set_members(const std::vector<wire::Member>& members);
  // Nodes from peer sampling: asked while no seed and no member is at hand that has not failed lately.
  void set_sampled(const std::vector<Address>& nodes);
  // The best node not among `excluded`: one that has not failed lately, a member, of the own zone, else at
  // random. None: all are excluded.
  std::optional<ControlChoice> choose(const std::set<Address>& excluded) const;
  // Any node but `excluded`, by preference one that has not failed lately; empty: there is none.
  Address choose_any(const Address& excluded) const;

  void record_success(const Address& address);
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
  Node& add(const Address& address);
  // Drops the nodes that no source lists.
  void remove_unlisted();
  int rank(const Node& node) const;

  Runtime& runtime_;
  std::string own_zone_;
  std::vector<Node> nodes_;
};

}  // namespace winchhall::cluster
