#include "cluster/membership/partial_view.hpp"

#include <algorithm>
#include <utility>

namespace winchhall::cluster {

namespace {

bool is_younger(const PeerDescriptor& left, const PeerDescriptor& right) { return left.age < right.age; }

}  // namespace

PartialView::PartialView(Address self, std::size_t capacity) : self_(std::move(self)), capacity_(capacity) {}

void PartialView::increment_ages() {
  for (PeerDescriptor& peer : peers_) ++peer.age;
}

std::optional<PeerDescriptor> PartialView::take_oldest() {
  if (peers_.empty()) return std::nullopt;
  const auto oldest = std::max_element(peers_.begin(), peers_.end(), is_younger);
  PeerDescriptor taken = std::move(*oldest);
  peers_.erase(oldest);
  return taken;
}

std::vector<PeerDescriptor> PartialView::choose(std::size_t count, const Address& receiver,
                                                const RandomSource& random) const {
  std::vector<PeerDescriptor> chosen = peers_;
  std::erase_if(chosen, [&](const PeerDescriptor& peer) { return peer.address == receiver; });
  const std::size_t wanted = std::min(count, chosen.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    const std::size_t other = i + static_cast<std::size_t>(random() % (chosen.size() - i));
    std::swap(chosen[i], chosen[other]);
  }
  chosen.resize(wanted);
  return chosen;
}

void PartialView::merge(const std::vector<PeerDescriptor>& received,
                        const std::vector<PeerDescriptor>& sent) {
  auto next_sent = sent.begin();
  for (const PeerDescriptor& peer : received) {
    if (refresh_if_known(peer)) continue;
    while (peers_.size() >= capacity_ && next_sent != sent.end()) {
      std::erase_if(peers_, [&](const PeerDescriptor& held) { return held.address == next_sent->address; });
      ++next_sent;
    }
    if (peers_.size() < capacity_) peers_.push_back(peer);
  }
}

void PartialView::insert_if_space(const PeerDescriptor& peer) { merge({peer}, {}); }

const PeerDescriptor* PartialView::find(const Address& address) const {
  const auto same = [&](const PeerDescriptor& peer) { return peer.address == address; };
  const auto found = std::find_if(peers_.begin(), peers_.end(), same);
  return found == peers_.end() ? nullptr : &*found;
}

bool PartialView::refresh_if_known(const PeerDescriptor& peer) {
  if (peer.address.empty() || peer.address == self_) return true;
  for (PeerDescriptor& held : peers_) {
    if (held.address != peer.address) continue;
    if (is_younger(peer, held)) held = peer;
    return true;
  }
  return false;
}

}  // namespace winchhall::cluster
