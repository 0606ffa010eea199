// Peers to contact outside the partial view: the seeds, and the last peers that left the view because they
// did not answer.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/membership/partial_view.hpp"

namespace winchhall::cluster {

// A process that was partitioned for long loses its whole view. The peers that it knew before may still be
// alive, also where all seeds are gone; therefore they are remembered here.
//
// A plain value without I/O, owned by one PeerSampler.
class ContactList {
 public:
  // `self` is never chosen. At most `capacity` former peers are kept.
  ContactList(Address self, std::size_t capacity) : self_(std::move(self)), capacity_(capacity) {}

  // Addresses of the internal listeners of the seeds. Earlier seeds become former peers.
  void set_seeds(std::vector<Address> seeds);
  // Adds a peer of the view that did not answer. Above the capacity, the oldest former peer is dropped. Seeds
  // are not added.
  void add_former(const Address& peer);
  // Removes a former peer that answered again, or that is considered dead.
  void remove_former(const Address& peer);
  // A uniformly random seed or former peer that is not in the view; empty: there is none.
  Address choose(const PartialView& view, const RandomSource& random) const;

 private:
  bool is_seed(const Address& address) const;

  Address self_;
  std::size_t capacity_;
  std::vector<Address> seeds_;
  std::deque<Address> former_;
};

}  // namespace winchhall::cluster
