// Peers outside the partial view that a process can contact.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/membership/partial_view.hpp"

namespace winchhall::cluster {

// Holds the seeds, and the peers that were removed from the view most recently because they did not answer. A
// process that is partitioned for a long time loses its whole view. The peers that it knew before may still
// be alive, even if all seeds are gone, so they are kept here.
//
// A plain value without I/O, owned by one PeerSampler.
class ContactList {
 public:
  // `self` is never chosen. At most `capacity` former peers are kept.
  ContactList(Address self, std::size_t capacity) : self_(std::move(self)), capacity_(capacity) {}

  // Addresses of the internal listeners of the seeds. Earlier seeds become former peers.
  void set_seeds(std::vector<Address> seeds);
  // Adds a peer of the view that did not answer. Above the capacity, the earliest one added is dropped. Seeds
  // are not added.
  void add_former(const Address& peer);
  // Removes a former peer that answered again, or that is considered dead.
  void remove_former(const Address& peer);
  // Chooses a seed or former peer that is not in the view, uniformly at random; empty if there is none.
  Address choose(const PartialView& view, const RandomSource& random) const;

 private:
  bool is_seed(const Address& address) const;

  Address self_;
  std::size_t capacity_;
  std::vector<Address> seeds_;
  std::deque<Address> former_;  // earliest added first
};

}  // namespace winchhall::cluster
