// Control nodes that may be asked: the seeds and the members, with what is known of how they answer.
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

  // Members that are not listed any more are dropped; seeds remain.
  void set_members(const std::vector<wire::Member>& members);
  // The best node not among `excluded`: one that has not failed lately, a member, of the own zone, else at
  // random. None: all are excluded.
  std::optional<ControlChoice> choose(const std::set<Address>& excluded) const;
  // Any node but `excluded`, by preference one that has not failed lately; empty: there is none.
  Address choose_any(const Address& excluded) const;

  void note_answer(const Address& address);
  void note_failure(const Address& address);

 private:
  struct Node {
    Address address;
    std::string zone;
    bool seed = false;
    bool member = false;
    unsigned failures = 0;  // in a row
    TimePoint rests_until;
  };

  Node* find(const Address& address);
  Node& add(const Address& address);
  int rank(const Node& node) const;

  Runtime& runtime_;
  std::string own_zone_;
  std::vector<Node> nodes_;
};

}  // namespace winchhall::cluster
