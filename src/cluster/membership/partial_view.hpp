// Partial view of the cluster's processes in a peer sampling protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "cluster/membership/peer_descriptor.hpp"

namespace winchhall::cluster {

// Uniformly distributed 64-bit numbers.
using RandomSource = std::function<std::uint64_t()>;

// A small set of peers whose entries are shuffled with those of other processes, so that the views together
// form a connected random overlay.
//
// After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership Management for Unstructured P2P
// Overlays" (2005). A round increments the age of all entries, removes the oldest one from the view and sends
// its peer a fresh descriptor of this process and some entries chosen at random. Both sides put what they
// receive into free slots first, then into those of the entries that they sent. Entries of dead peers
// are never refreshed: they become the oldest ones, are chosen for a round, get no answer, and stay removed.
//
// Two additions for groups smaller than the view: a younger descriptor of a known peer replaces the older
// one, and a peer that answered is inserted again if there is a free slot.
//
// Invariants: at most `capacity` entries, at most one for each address, none for this process. A plain value
// without I/O, owned by one PeerSampler.
class PartialView {
 public:
  // `self` never enters the view.
  PartialView(Address self, std::size_t capacity);

  // Adds one round to the age of all entries. Called once per round.
  void increment_ages();
  // Removes the entry with the highest age and returns it; none if the view is empty.
  std::optional<PeerDescriptor> take_oldest();
  // Copies of at most `count` entries, chosen at random without repetition; never that of `receiver`.
  std::vector<PeerDescriptor> choose(std::size_t count, const Address& receiver,
                                     const RandomSource& random) const;
  // Merges what a peer sent. Younger descriptors of known peers replace older ones. Entries that were sent to
  // that peer (`sent`) are replaced, in their order, where there is no free slot; received entries that find
  // no slot are dropped.
  void merge(const std::vector<PeerDescriptor>& received, const std::vector<PeerDescriptor>& sent);
  // Inserts a peer unless the view is full; a younger descriptor of a known peer replaces the older one.
  void insert_if_space(const PeerDescriptor& peer);

  const std::vector<PeerDescriptor>& peers() const { return peers_; }
  bool contains(const Address& address) const { return find(address) != nullptr; }
  bool empty() const { return peers_.empty(); }

 private:
  const PeerDescriptor* find(const Address& address) const;
  // True if there is nothing to insert: the peer is this process, accepts no requests, or has an entry
  // already. Of two descriptors of one peer, the younger is kept.
  bool refresh_if_known(const PeerDescriptor& peer);

  Address self_;
  std::size_t capacity_;
  std::vector<PeerDescriptor> peers_;
};

}  // namespace winchhall::cluster
