// Control nodes found by peer sampling.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "cluster/membership/peer_descriptor.hpp"

namespace winchhall::cluster {

// A bounded list of the control nodes whose descriptors were received in shuffles; the youngest descriptors
// are kept. An entry that no shuffle refreshes is dropped after kMaxDescriptorAge answered shuffles.
//
// The entries are only candidates for contact: they may be dead or no longer control nodes, and no consensus
// decision depends on them. A plain value without I/O, owned by one PeerSampler.
class SampledControlNodes {
 public:
  // `self` is never listed. Above `capacity`, the entry with the oldest descriptor is dropped.
  SampledControlNodes(Address self, std::size_t capacity) : self_(std::move(self)), capacity_(capacity) {}

  // Increments the age of all entries and drops those above kMaxDescriptorAge. Called once for each shuffle
  // that was answered, so that a partitioned process keeps its candidates.
  void increment_ages();
  // Adds or refreshes the control nodes among the descriptors. A descriptor with another role removes the
  // entry of its address, unless the entry is younger.
  void merge(const std::vector<PeerDescriptor>& received);
  // Internal listeners of the entries, sorted.
  std::vector<Address> addresses() const;

 private:
  void merge_one(const PeerDescriptor& peer);
  void add(const PeerDescriptor& peer);

  Address self_;
  std::size_t capacity_;
  std::vector<PeerDescriptor> nodes_;
};

}  // namespace winchhall::cluster
