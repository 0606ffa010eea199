// The part of a peer sampling protocol that decides, without any I/O: a small view of the peers, whose
// entries are shuffled with those of others.
//
// After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership Management for Unstructured P2P
// Overlays" (2005): a round makes all entries older by one, takes the oldest one out of the view and sends
// its peer a fresh descriptor of this process and some entries chosen at random; both sides put what they
// receive into free places first, then in the place of what they sent. Dead peers are never refreshed, so
// that they become the oldest, are asked, and go. Two additions for groups smaller than the view: a younger
// descriptor of a known peer replaces the older one, and the peer that answered goes back where there is a
// free place.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "cluster/membership/peer_descriptor.hpp"

namespace winchhall::cluster {

// Uniformly distributed numbers.
using RandomSource = std::function<std::uint64_t()>;

class PartialView {
 public:
  // `self` never enters the view.
  PartialView(Address self, std::size_t capacity);

  void increment_ages();
  // Takes the oldest peer out; none: the view is empty.
  std::optional<PeerDescriptor> take_oldest();
  // At most `count` entries chosen at random, each at most once, without that of `receiver`.
  std::vector<PeerDescriptor> choose(std::size_t count, const Address& receiver,
                                     const RandomSource& random) const;
  // Takes in what a peer sent. `sent` went the other way: these entries give way where there is no free
  // place.
  void merge(const std::vector<PeerDescriptor>& received, const std::vector<PeerDescriptor>& sent);
  // Adds a peer, or makes its entry younger, unless there is no place.
  void insert_if_space(const PeerDescriptor& peer);

  const std::vector<PeerDescriptor>& peers() const { return peers_; }
  bool contains(const Address& address) const { return find(address) != nullptr; }
  bool empty() const { return peers_.empty(); }

 private:
  const PeerDescriptor* find(const Address& address) const;
  // True: the peer is this process, or known already; the younger descriptor is kept.
  bool refresh_if_known(const PeerDescriptor& peer);

  Address self_;
  std::size_t capacity_;
  std::vector<PeerDescriptor> peers_;
};

}  // namespace winchhall::cluster
