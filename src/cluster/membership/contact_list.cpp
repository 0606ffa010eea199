#include "cluster/membership/contact_list.hpp"

#include <algorithm>

namespace winchhall::cluster {

void ContactList::set_seeds(std::vector<Address> seeds) {
  const std::vector<Address> earlier = std::exchange(seeds_, std::move(seeds));
  for (const Address& seed : earlier) add_former(seed);
  std::erase_if(former_, [this](const Address& peer) { return is_seed(peer); });
}

void ContactList::add_former(const Address& peer) {
  std::erase(former_, peer);
  if (is_seed(peer)) return;
  former_.push_back(peer);
  if (former_.size() > capacity_) former_.pop_front();
}

void ContactList::remove_former(const Address& peer) { std::erase(former_, peer); }

Address ContactList::choose(const PartialView& view, const RandomSource& random) const {
  std::vector<Address> contacts = seeds_;
  contacts.insert(contacts.end(), former_.begin(), former_.end());
  std::erase_if(contacts, [&](const Address& contact) { return contact == self_ || view.contains(contact); });
  return contacts.empty() ? Address() : contacts[random() % contacts.size()];
}

bool ContactList::is_seed(const Address& address) const {
  return std::find(seeds_.begin(), seeds_.end(), address) != seeds_.end();
}

}  // namespace winchhall::cluster
