// Whom to turn to outside the view: the seeds, and the last peers that left the view because they did not
// answer. A process that was cut off for long loses its whole view; the peers it knew before may well be
// alive, also where all seeds are gone.
#pragma once

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "cluster/common/runtime.hpp"
#include "cluster/membership/partial_view.hpp"

namespace winchhall::cluster {

class ContactList {
 public:
  // `self` is never chosen. At most `capacity` former peers are kept.
  ContactList(Address self, std::size_t capacity) : self_(std::move(self)), capacity_(capacity) {}

  // Internal listeners of the seeds. Earlier seeds are former peers from now on.
  void set_seeds(std::vector<Address> seeds);
  // A peer of the view that did not answer; the oldest former peer gives way.
  void add_former(const Address& peer);
  // A former peer that is back, or gone for good.
  void remove_former(const Address& peer);
  // A contact that is not in the view, at random; empty: there is none.
  Address choose(const PartialView& view, const RandomSource& random) const;

 private:
  bool is_seed(const Address& address) const;

  Address self_;
  std::size_t capacity_;
  std::vector<Address> seeds_;
  std::deque<Address> former_;
};

}  // namespace winchhall::cluster
