// Control nodes that shuffles brought up: a bounded list of candidates to ask. Nothing that must be right
// rests on it. An entry that no shuffle makes younger goes after a number of rounds.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "cluster/membership/peer_descriptor.hpp"

namespace winchhall::cluster {

class SampledControlNodes {
 public:
  // `self` is never listed.
  SampledControlNodes(Address self, std::size_t capacity) : self_(std::move(self)), capacity_(capacity) {}

  // Makes all entries older by a round and drops those that are too old.
  void increment_ages();
  // Takes in the control nodes among the descriptors; a younger descriptor with another role removes an
  // entry.
  void merge(const std::vector<PeerDescriptor>& received);
  // By address.
  std::vector<Address> addresses() const;

 private:
  void note(const PeerDescriptor& peer);
  void add(const PeerDescriptor& peer);

  Address self_;
  std::size_t capacity_;
  std::vector<PeerDescriptor> nodes_;
};

}  // namespace winchhall::cluster
