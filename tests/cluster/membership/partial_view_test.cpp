// Peer sampling without I/O: partial views, contacts, sampled control nodes, and overlays of many views.
#include "cluster/membership/partial_view.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/membership/contact_list.hpp"
#include "cluster/membership/sampled_control_nodes.hpp"

using namespace winchhall::cluster;

namespace {

constexpr std::size_t kCapacity = 8;
constexpr std::size_t kShuffled = 3;

Address address_of(std::size_t index) { return "10.0.0." + std::to_string(index + 1) + ":7380"; }

PeerDescriptor peer(std::size_t index, std::uint32_t age = 0, PeerRole role = PeerRole::agent) {
  return PeerDescriptor{address_of(index), role, "a", age};
}

RandomSource make_random_source(std::uint64_t seed) {
  return [generator = std::mt19937_64(seed)]() mutable { return generator(); };
}

std::set<Address> addresses(const std::vector<PeerDescriptor>& peers) {
  std::set<Address> found;
  for (const PeerDescriptor& entry : peers) found.insert(entry.address);
  return found;
}

// Processes that shuffle in rounds; messages are never lost, dead processes never answer.
class Overlay {
 public:
  Overlay(std::size_t processes, std::uint64_t seed)
      : random_(make_random_source(seed)), alive_(processes, true) {
    for (std::size_t i = 0; i < processes; ++i) views_.emplace_back(address_of(i), kCapacity);
    // As after a start from seeds: all processes know the same three.
    for (std::size_t i = 0; i < processes; ++i) views_[i].merge({peer(0), peer(1), peer(2)}, {});
  }

  void run(unsigned rounds) {
    for (unsigned round = 0; round < rounds; ++round) {
      for (std::size_t i = 0; i < views_.size(); ++i) {
        if (alive_[i]) shuffle(i);
      }
    }
  }
  void kill_share(double share) {
    const auto count = static_cast<std::size_t>(share * static_cast<double>(views_.size()));
    for (std::size_t killed = 0; killed < count;) {
      const std::size_t index = random_() % views_.size();
      if (!alive_[index]) continue;
      alive_[index] = false;
      ++killed;
    }
  }

  // True if all live processes can be reached from the first one, along entries in either direction.
  bool connected() const {
    const std::size_t processes = views_.size();
    const auto first = std::find(alive_.begin(), alive_.end(), true) - alive_.begin();
    std::set<std::size_t> reached{static_cast<std::size_t>(first)};
    for (std::size_t before = 0; before != reached.size();) {
      before = reached.size();
      for (std::size_t i = 0; i < processes; ++i) {
        for (std::size_t j = 0; j < processes; ++j) {
          if (!alive_[i] || !alive_[j] || !views_[i].contains(address_of(j))) continue;
          if (reached.contains(i)) reached.insert(j);
          if (reached.contains(j)) reached.insert(i);
        }
      }
    }
    return reached.size() == static_cast<std::size_t>(std::count(alive_.begin(), alive_.end(), true));
  }
  std::size_t dead_entries() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < views_.size(); ++i) {
      for (std::size_t j = 0; alive_[i] && j < views_.size(); ++j) {
        if (!alive_[j] && views_[i].contains(address_of(j))) ++count;
      }
    }
    return count;
  }
  std::size_t in_degree(std::size_t index) const {
    return static_cast<std::size_t>(std::count_if(views_.begin(), views_.end(), [&](const PartialView& view) {
      return view.contains(address_of(index));
    }));
  }
  const PartialView& view(std::size_t index) const { return views_[index]; }

 private:
  void shuffle(std::size_t index) {
    PartialView& view = views_[index];
    view.increment_ages();
    const std::optional<PeerDescriptor> partner = view.take_oldest();
    if (!partner) return;
    const std::size_t other = index_of(partner->address);
    if (!alive_[other]) return;
    std::vector<PeerDescriptor> sent = view.choose(kShuffled, partner->address, random_);
    const std::vector<PeerDescriptor> answer = views_[other].choose(kShuffled, address_of(index), random_);
    std::vector<PeerDescriptor> received = sent;
    received.insert(received.begin(), peer(index));
    views_[other].merge(received, answer);
    view.merge(answer, sent);
    view.insert_if_space(peer(other));
  }
  std::size_t index_of(const Address& address) const {
    for (std::size_t i = 0; i < views_.size(); ++i) {
      if (address_of(i) == address) return i;
    }
    throw std::out_of_range(address);
  }

  RandomSource random_;
  std::vector<PartialView> views_;
  std::vector<bool> alive_;
};

}  // namespace

TEST_CASE("entries are removed oldest first, each once") {
  PartialView view(address_of(0), kCapacity);
  view.merge({peer(1, 2), peer(2, 5), peer(3, 4)}, {});
  CHECK(view.take_oldest()->address == address_of(2));
  CHECK(view.take_oldest()->address == address_of(3));
  CHECK(view.take_oldest()->address == address_of(1));
  CHECK_FALSE(view.take_oldest().has_value());
}

TEST_CASE("a view never contains its own process, a peer twice, or more than its capacity") {
  PartialView view(address_of(0), 3);
  view.merge({peer(0), PeerDescriptor{}, peer(1, 7), peer(1, 2), peer(1, 9), peer(2), peer(3), peer(4)}, {});
  CHECK(addresses(view.peers()) == addresses({peer(1), peer(2), peer(3)}));
  CHECK(view.peers().size() == 3);
  CHECK(view.peers().front().age == 2);
}

TEST_CASE("in a full view received entries replace those that were sent, and no others") {
  PartialView view(address_of(0), 3);
  view.merge({peer(1), peer(2), peer(3)}, {});
  view.merge({peer(4), peer(5)}, {peer(2)});
  CHECK(addresses(view.peers()) == addresses({peer(1), peer(3), peer(4)}));
  view.insert_if_space(peer(6));
  CHECK_FALSE(view.contains(address_of(6)));
}

TEST_CASE("a younger descriptor of a peer replaces the older one") {
  PartialView view(address_of(0), 3);
  view.merge({peer(1, 5, PeerRole::control)}, {});
  view.merge({peer(1, 1, PeerRole::worker_agent)}, {});
  CHECK(view.peers().front().role == PeerRole::worker_agent);
  view.merge({peer(1, 3, PeerRole::control)}, {});
  CHECK(view.peers().front().role == PeerRole::worker_agent);
}

TEST_CASE("chosen entries are distinct and never the receiver") {
  PartialView view(address_of(0), kCapacity);
  for (std::size_t i = 1; i <= kCapacity; ++i) view.merge({peer(i)}, {});
  const RandomSource random = make_random_source(7);
  std::map<Address, unsigned> times;
  for (unsigned turn = 0; turn < 700; ++turn) {
    const auto chosen = view.choose(kShuffled, address_of(3), random);
    REQUIRE(addresses(chosen).size() == kShuffled);
    for (const PeerDescriptor& entry : chosen) ++times[entry.address];
  }
  CHECK(times.count(address_of(3)) == 0);
  CHECK(times.size() == kCapacity - 1);
  for (const auto& [address, count] : times) CHECK((count > 200 && count < 400));
  CHECK(view.choose(100, Address(), random).size() == kCapacity);
}

TEST_CASE("the same random seed produces the same overlay") {
  Overlay left(40, 11);
  Overlay right(40, 11);
  Overlay other(40, 12);
  left.run(30);
  right.run(30);
  other.run(30);
  bool same_as_other = true;
  for (std::size_t i = 0; i < 40; ++i) {
    CHECK(left.view(i).peers() == right.view(i).peers());
    same_as_other = same_as_other && left.view(i).peers() == other.view(i).peers();
  }
  CHECK_FALSE(same_as_other);
}

TEST_CASE(
    "the overlay stays connected without 30% of its processes, whose entries vanish in bounded rounds") {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed " << seed);
    Overlay overlay(60, seed);
    overlay.run(30);
    REQUIRE(overlay.connected());
    overlay.kill_share(0.3);
    CHECK(overlay.connected());
    overlay.run(kMaxDescriptorAge);
    CHECK(overlay.dead_entries() == 0);
    CHECK(overlay.connected());
  }
}

TEST_CASE("no process is in far more views than others, although all start from three seeds") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    Overlay overlay(60, seed);
    overlay.run(60);
    for (std::size_t i = 0; i < 60; ++i) {
      CHECK(overlay.in_degree(i) >= kCapacity / 4);
      CHECK(overlay.in_degree(i) <= kCapacity * 5 / 2);
    }
  }
}

TEST_CASE("in a group smaller than a view every process knows every other") {
  Overlay overlay(5, 3);
  overlay.run(10);
  for (std::size_t i = 0; i < 5; ++i) CHECK(overlay.view(i).peers().size() == 4);
}

TEST_CASE("contacts are seeds and former peers outside the view, never the process itself") {
  ContactList contacts(address_of(0), 2);
  PartialView view(address_of(0), kCapacity);
  const RandomSource random = make_random_source(1);
  CHECK(contacts.choose(view, random).empty());
  contacts.set_seeds({address_of(0), address_of(1)});
  CHECK(contacts.choose(view, random) == address_of(1));
  view.merge({peer(1)}, {});
  CHECK(contacts.choose(view, random).empty());
  contacts.add_former(address_of(2));
  CHECK(contacts.choose(view, random) == address_of(2));
  contacts.remove_former(address_of(2));
  CHECK(contacts.choose(view, random).empty());
}

TEST_CASE("the newest former peers are kept, earlier seeds included") {
  ContactList contacts(address_of(0), 2);
  const PartialView view(address_of(0), kCapacity);
  const RandomSource random = make_random_source(1);
  const auto reachable = [&] {
    std::set<Address> found;
    for (unsigned turn = 0; turn < 100; ++turn) found.insert(contacts.choose(view, random));
    return found;
  };
  contacts.set_seeds({address_of(1)});
  contacts.set_seeds({address_of(2)});
  CHECK(reachable() == std::set<Address>{address_of(1), address_of(2)});
  contacts.add_former(address_of(3));
  contacts.add_former(address_of(4));
  CHECK(reachable() == std::set<Address>{address_of(2), address_of(3), address_of(4)});
}

TEST_CASE("sampled control nodes are the youngest descriptors, and expire without refresh") {
  SampledControlNodes sample(address_of(0), 2);
  sample.merge({peer(0, 0, PeerRole::control), peer(1, 3, PeerRole::control), peer(2, 0, PeerRole::agent),
                peer(3, 9, PeerRole::control), peer(4, 1, PeerRole::control)});
  CHECK(sample.addresses() == std::vector<Address>{address_of(1), address_of(4)});
  sample.merge({peer(1, 5, PeerRole::agent)});  // older than the descriptor as a control node
  CHECK(sample.addresses().size() == 2);
  sample.merge({peer(1, 1, PeerRole::agent)});  // another process has this address now
  CHECK(sample.addresses() == std::vector<Address>{address_of(4)});
  for (std::uint32_t round = 0; round <= kMaxDescriptorAge; ++round) sample.increment_ages();
  CHECK(sample.addresses().empty());
}
